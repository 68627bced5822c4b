// Load balancing over the entry instances.
#ifndef PROGRAMS_LOAD_ENTRY_BALANCER_H_
#define PROGRAMS_LOAD_ENTRY_BALANCER_H_

#include <vector>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/process/endpoint.h"

namespace limpethatch::load {

// Round robin over the instances whose /readyz answers 200. Not thread-safe.
class EntryBalancer {
 public:
  // `readiness` are the addresses polled for /readyz, in the order of
  // `entries`; if empty, `entries` are polled.
  EntryBalancer(boost::asio::io_context& io,
                HttpClient& client,
                std::vector<Endpoint> entries,
                const std::vector<Endpoint>& readiness);

  // The next ready instance, or the next one in order if none is ready.
  const Endpoint& NextInstance();
  // Sends to the next instance; tries the others if the request cannot be sent.
  HttpOutcome Call(Yield yield,
                   const HttpRequest& request,
                   const HttpCallOptions& options);

 private:
  void PollReadiness(Yield yield, size_t index);

  HttpClient& client_;
  const std::vector<Endpoint> entries_;
  const std::vector<Endpoint> readiness_;
  std::vector<bool> ready_;
  size_t next_ = 0;
};

}  // namespace limpethatch::load

#endif  // PROGRAMS_LOAD_ENTRY_BALANCER_H_
