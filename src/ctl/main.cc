#include <exception>
#include <iostream>
#include <variant>

#include "src/ctl/commands.h"
#include "src/ctl/parse_arguments.h"

int main(int argc, char** argv) {
  using bronzeroute::arguments;
  using bronzeroute::exit_code;
  try {
    const auto parsed = bronzeroute::ParseArguments(argc, argv);
    const exit_code code = std::holds_alternative<exit_code>(parsed)
                               ? std::get<exit_code>(parsed)
                               : bronzeroute::RunCommand(std::get<arguments>(parsed));
    return static_cast<int>(code);
  } catch (const std::exception& error) {
    std::cerr << "brctl: " << error.what() << "\n";
    return static_cast<int>(exit_code::kUsage);
  }
}
