// lynxgladectl, the command-line tool for operators.
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "main/ctl_client.h"
#include "main/ctl_commands.h"
#include "main/ctl_options.h"

namespace {

std::string ReadAll(std::istream& in) {
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::optional<std::string> ReadFile(const std::string& name) {
  if (name == "-") {
    return ReadAll(std::cin);
  }
  std::ifstream in(name, std::ios::binary);
  if (!in) {
    return std::nullopt;
  }
  return ReadAll(in);
}

}  // namespace

int main(int argc, char** argv) {
  using namespace lynxglade;
  int exit_code = ctl::kExitOk;
  const auto options = ctl::ParseCtlOptions(argc, argv, &exit_code);
  if (!options) {
    return exit_code;
  }
  const ctl::CtlResult result =
      ctl::RunCommand(*options, ctl::MakeCtlSend(*options), ReadFile);
  std::cout << result.out;
  std::cerr << result.err;
  return result.exit_code;
}
