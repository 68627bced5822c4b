// Typed command-line flags of programs that run without a settings file.
#ifndef LIMPETHATCH_PROCESS_FLAGS_H_
#define LIMPETHATCH_PROCESS_FLAGS_H_

#include <boost/program_options/options_description.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"

namespace limpethatch {

// Each Add declares --NAME, whose value goes to `target` and whose default is
// what `target` holds.
class Flags {
 public:
  explicit Flags(std::string_view usage) : usage_(usage) {}

  void Add(const char* name, std::string* target, const char* help);
  void Add(const char* name, uint64_t* target, const char* help);
  void Add(const char* name, uint32_t* target, const char* help);
  void Add(const char* name, double* target, const char* help);
  // Takes "true" or "false".
  void Add(const char* name, bool* target, const char* help);
  // Takes a number and a unit, as "20ms".
  void Add(const char* name, Duration* target, const char* help);
  // Takes "IP:PORT".
  void Add(const char* name, Endpoint* target, const char* help);
  // Takes "IP:PORT,IP:PORT,...".
  void Add(const char* name, std::vector<Endpoint>* target, const char* help);
  // Takes "IP:PORT=IP:PORT,...".
  void Add(const char* name, AddressTranslation* target, const char* help);
  // May stand several times, each with several values between commas.
  void Add(const char* name,
           std::vector<std::string>* target,
           const char* help);

  // The exit code of a program that is already done: after --help or
  // --version, or for a wrong flag, which standard error then explains.
  std::optional<int> Parse(int argc, const char* const* argv);

 private:
  template <typename Parser>
  void AddParsed(const char* name,
                 const std::string& default_text,
                 const char* help,
                 Parser parser);

  std::string usage_;
  boost::program_options::options_description option_descriptions_{"Options"};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_FLAGS_H_
