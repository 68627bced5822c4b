// What a fleet offers to its surroundings, free of any protocol. An adapter
// reads calls, uses these, and writes answers.
#ifndef LIMPETHATCH_CONNECTION_FLEET_INTERFACE_H_
#define LIMPETHATCH_CONNECTION_FLEET_INTERFACE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet.pb.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/connection/yield.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/request/route_table.h"

namespace limpethatch {

// What became of a change.
enum class ChangeOutcome {
  kDone,       // It is durable.
  kNotDone,    // It is not, and never will be.
  kUncertain,  // It may be, now or later.
};

enum class RetirementState {
  kRunning,
  kCompleted,
  kUnknownInstance,
  kTooFewRemaining
};

// Of a control instance: for operators, trainers and targets.
class ControlInterface {
 public:
  virtual ~ControlInterface() = default;

  // Puts a valid configuration in force unless a newer one is.
  virtual ChangeOutcome PutConfiguration(
      Yield yield,
      const wire::FleetConfiguration& configuration) = 0;
  // The newest one; nothing if that can't be told now.
  virtual std::optional<wire::ConfigurationReply> ReadConfiguration(
      Yield yield) = 0;
  // True if the service is declared, or no configuration is known yet.
  virtual bool KnowsService(std::string_view service) const = 0;
  // Takes in what a target says. False if this control instance is cut off
  // from the others, which then may not hear of it.
  virtual bool Announce(const wire::TargetRecord& target) = 0;
  virtual bool Leave(std::string_view id, std::optional<uint64_t> born_ms) = 0;
  virtual ChangeOutcome SetWeightsVersion(Yield yield,
                                          const std::string& model,
                                          uint64_t version) = 0;
  // Begins to empty a control instance; nothing if that can't be told now.
  virtual std::optional<RetirementState> Retire(Yield yield,
                                                const std::string& name) = 0;
  virtual std::optional<RetirementState> GetRetirementState(
      Yield yield,
      const std::string& name) = 0;
};

// Of a gateway: for callers and those who submit batch jobs.
class GatewayInterface {
 public:
  virtual ~GatewayInterface() = default;

  // Null before the first configuration arrived.
  virtual RouteTablePtr routes() const = 0;
  // Answers a live request on `route`.
  virtual void ServeLive(HttpExchange& exchange, const wire::Route& route) = 0;
  virtual ChangeOutcome SubmitJob(Yield yield,
                                  const wire::JobSubmit& submit) = 0;
  virtual ChangeOutcome EndJob(Yield yield,
                               const std::string& job,
                               bool* known) = 0;
  // Waits up to `wait` for a result. Nothing if it can't be told now.
  virtual std::optional<wire::JobPage> ReadJob(Yield yield,
                                               const std::string& job,
                                               uint64_t after,
                                               Duration wait) = 0;
  virtual std::optional<wire::JobBody> ReadBody(Yield yield,
                                                const std::string& job,
                                                const std::string& sample) = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_FLEET_INTERFACE_H_
