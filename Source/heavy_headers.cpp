#include "heavy_headers.h"
