// Typed command-line flags for programs without a settings file.
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

// Each Add declares a flag --NAME that is stored in `target`. The initial value
// of `target` is the default.
class Flags {
 public:
  explicit Flags(std::string_view usage) : usage_(usage) {}

  void Add(const char* name, std::string* target, const char* help);
  void Add(const char* name, uint64_t* target, const char* help);
  void Add(const char* name, uint32_t* target, const char* help);
  void Add(const char* name, double* target, const char* help);
  // Accepts "true" or "false".
  void Add(const char* name, bool* target, const char* help);
  // Accepts a number with a unit, such as "20ms".
  void Add(const char* name, Duration* target, const char* help);
  // Accepts "IP:PORT".
  void Add(const char* name, Endpoint* target, const char* help);
  // Accepts "IP:PORT,IP:PORT,...".
  void Add(const char* name, std::vector<Endpoint>* target, const char* help);
  // Accepts "IP:PORT=IP:PORT,...".
  void Add(const char* name, AddressTranslation* target, const char* help);
  // May be repeated; each occurrence accepts a comma-separated list.
  void Add(const char* name,
           std::vector<std::string>* target,
           const char* help);

  // Parses the command line. Returns an exit code if the program should exit:
  // after --help or --version, or after printing an error about an invalid flag
  // to standard error.
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
