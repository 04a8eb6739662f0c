#include "Harness/command_run.h"
#include "Harness/mesh.h"

#include <gtest/gtest.h>

#include <fstream>

namespace vanillashunt {

// Found by another test: a port that was taken ended the process with "terminate called".
TEST(NodePort, APortThatIsTakenIsNamed)
{
    mesh taken;
    auto file = taken.folder() / "taken.toml";
    auto address = taken.platform().address();
    std::ofstream(file) << "[node]\nname = \"n1\"\navailability_zone = \"bangsar\"\n[caller]\nlisten = \"" << address << "\"\n";
    auto run = runForErrors({ "node", file.string() });
    EXPECT_EQ(run.exitCode, 2);
    EXPECT_NE(run.text.find("VS104 a port cannot be opened error=\"cannot listen on " + address + ": Address already in use\""), std::string::npos) << run.text;
}

}
