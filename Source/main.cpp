#include "command/program.h"

int main(int argc, char** argv)
{
    return vanillashunt::runProgram({ argv + 1, argv + argc });
}
