// A stand-in for a model engine.
#ifndef PROGRAMS_STANDIN_ENGINE_H_
#define PROGRAMS_STANDIN_ENGINE_H_

#include <map>
#include <string>

#include "programs/standin/completion.h"
#include "programs/standin/engine_loop.h"
#include "programs/standin/engine_options.h"
#include "programs/standin/order_record.h"
#include "programs/standin/target.h"
#include "programs/standin/weight_loader.h"

namespace limpethatch::standin {

// Not thread-safe.
class Engine {
 public:
  Engine(boost::asio::io_context& io, const EngineOptions& options);

  std::error_code Start() { return target_.Start(); }

 private:
  // An active stream; streams are looked up by request id.
  struct ActiveStream {
    SequenceId sequence;
    uint64_t key;
  };

  void Handle(HttpExchange& exchange);
  void HandleCompletion(HttpExchange& exchange);
  // Sends tokens as they are generated; false if the caller disconnected.
  bool FollowSequence(HttpExchange& exchange,
                      const CompletionRequest& request,
                      SequenceId id);
  void FinishAnswer(HttpExchange& exchange,
                    const CompletionRequest& request,
                    SequenceId id);
  void CrashIfPoisoned(const CompletionRequest& request, uint32_t tokens);
  HttpResponse HandleOrder(const HttpRequest& request);
  HttpResponse OrderReport() const;
  HttpResponse ExportKv(const HttpRequest& request);
  void FillAnnouncement(boost::json::object& announcement);

  const EngineOptions options_;
  EngineLoop loop_;
  WeightLoader loader_;
  OrderRecord orders_;
  std::map<std::string, ActiveStream> streams_;
  Target target_;
};

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_ENGINE_H_
