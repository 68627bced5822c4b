// The entry instances as a balancer sees them.
#ifndef PROGRAMS_LOAD_ENTRY_BALANCER_H_
#define PROGRAMS_LOAD_ENTRY_BALANCER_H_

#include <vector>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/process/endpoint.h"

namespace limpethatch::load {

// Round robin over the instances whose /readyz answers 200. For one thread.
class EntryBalancer {
 public:
  // `readiness` are the addresses to ask for /readyz.
  EntryBalancer(boost::asio::io_context& io,
                HttpClient& client,
                std::vector<Endpoint> entries,
                const std::vector<Endpoint>& readiness);

  // The next ready instance; just the next one if none is ready.
  const Endpoint& NextInstance();
  // Sends to the next instance, and to others while one refuses connections.
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
