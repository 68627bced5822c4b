// How a live completion is told to its caller.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_COMPLETION_WRITER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_COMPLETION_WRITER_H_

#include <boost/json/object.hpp>
#include <string>

#include "limpethatch/connection/http_server.h"
#include "limpethatch/request/generation.h"
#include "limpethatch/request/refusal.h"

namespace limpethatch {

// Writes one answer in the completions shape. A stream begins with its first
// piece, ends with "[DONE]" if it is whole, and otherwise with an error event.
class CompletionWriter {
 public:
  CompletionWriter(HttpExchange& exchange,
                   std::string id,
                   std::string model,
                   bool stream)
      : exchange_(exchange),
        id_(std::move(id)),
        model_(std::move(model)),
        stream_(stream) {}

  // Errors are those of the caller's connection.
  std::error_code WritePiece(const GenerationPiece& piece);
  void Finish(const Generation& generation, const std::string& finish_reason);
  void WriteRefusal(const Refusal& refusal);

  // Part of the answer is out and can't be taken back.
  bool started() const { return started_; }

 private:
  boost::json::object MakeEvent(std::string_view text,
                                const boost::json::value& finish_reason,
                                boost::json::object detail) const;
  std::error_code WriteEvent(const boost::json::object& event);

  HttpExchange& exchange_;
  const std::string id_;
  const std::string model_;
  const bool stream_;
  bool started_ = false;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_COMPLETION_WRITER_H_
