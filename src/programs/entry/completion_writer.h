// Writes live completions to their callers.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_COMPLETION_WRITER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_COMPLETION_WRITER_H_

#include <boost/json/object.hpp>
#include <string>

#include "limpethatch/connection/http_server.h"
#include "limpethatch/request/generation.h"
#include "limpethatch/request/refusal.h"

namespace limpethatch {

// Writes one answer in the format of the completions API. A stream starts with
// the first piece. It ends with "[DONE]" if it is complete, and with an error
// event if not.
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

  // Returns errors of the caller's connection.
  std::error_code WritePiece(const GenerationPiece& piece);
  void Finish(const Generation& generation, const std::string& finish_reason);
  void WriteRefusal(const Refusal& refusal);

  // Whether part of the answer was sent, so that the status can't change.
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
