// The protocol-independent interface of a fleet. An adapter decodes requests,
// calls these interfaces and encodes the answers.
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
#include "limpethatch/process/endpoint.h"
#include "limpethatch/request/route_table.h"

namespace limpethatch {

// The outcome of a request to change replicated state.
enum class ChangeOutcome {
  kDone,       // The change is durable.
  kNotDone,    // The change was not made and never will be.
  kUncertain,  // The change may be durable, or may become so later.
};

enum class RetirementState {
  kRunning,
  kCompleted,
  kUnknownInstance,
  kTooFewRemaining
};

// Implemented by control instances, for operators, trainers and targets.
class ControlInterface {
 public:
  virtual ~ControlInterface() = default;

  // Puts a valid configuration into force unless a newer one already is.
  virtual ChangeOutcome PutConfiguration(
      Yield yield,
      const wire::FleetConfiguration& configuration) = 0;
  // Returns the newest configuration, or nullopt if it cannot be determined
  // now.
  virtual std::optional<wire::ConfigurationReply> ReadConfiguration(
      Yield yield) = 0;
  // The address at which this instance takes calls.
  virtual Endpoint CallAddress() const = 0;
  // The address of an instance whose state is recent, if the state of this one
  // is not and it knows another.
  virtual std::optional<Endpoint> BetterInstance() const = 0;
  // If this instance has been cut off from a quorum for a while: the address of
  // one that it does not hear. Callers may reach that one and be served there.
  virtual std::optional<Endpoint> InstanceBeyondPartition() const = 0;
  // Returns true if the configuration declares the service, or if no
  // configuration is known yet.
  virtual bool KnowsService(std::string_view service) const = 0;
  // Returns true if the configuration declares models for the service.
  virtual bool HasModels(std::string_view service) const = 0;
  // Records what a target announced. Returns false if this control instance is
  // partitioned from the others, which then may not receive the announcement.
  virtual bool Announce(const wire::TargetRecord& target) = 0;
  // Counts an announcement that was refused because of `problem`.
  virtual void OnAnnouncementRefused(std::string_view id,
                                     std::string_view problem) = 0;
  virtual bool Leave(std::string_view id, std::optional<uint64_t> born_ms) = 0;
  virtual ChangeOutcome SetWeightsVersion(Yield yield,
                                          const std::string& model,
                                          uint64_t version) = 0;
  // Starts to retire a control instance. Returns nullopt if its state cannot be
  // determined now.
  virtual std::optional<RetirementState> Retire(Yield yield,
                                                const std::string& name) = 0;
  virtual std::optional<RetirementState> GetRetirementState(
      Yield yield,
      const std::string& name) = 0;
};

// The outcome of a request to submit or end a batch job.
struct JobChange {
  ChangeOutcome outcome = ChangeOutcome::kUncertain;
  // False if there is no such job for the caller; also if another organisation
  // has a job of this id.
  bool known = true;
};

// Implemented by gateways, for callers and for submitters of batch jobs. Calls
// on a batch job name the organisation of the caller; empty: none.
class GatewayInterface {
 public:
  virtual ~GatewayInterface() = default;

  // Null until the first configuration has arrived.
  virtual RouteTablePtr routes() const = 0;
  // Whether routes() was recently known to be the newest configuration, so that
  // it proves that a route is absent.
  virtual bool IsConfigurationCurrent() const = 0;
  // Whether a newer configuration may have changed the routes in routes().
  virtual bool IsConfigurationOutdated() const = 0;
  // Answers a live request of `organisation`, which is empty if the request
  // belongs to none, on `route`. Both are of routes().
  virtual void ServeLive(HttpExchange& exchange,
                         const wire::Route& route,
                         const std::string& organisation) = 0;
  virtual JobChange SubmitJob(Yield yield, const wire::JobSubmit& submit) = 0;
  virtual JobChange EndJob(Yield yield,
                           const std::string& organisation,
                           const std::string& job) = 0;
  // Waits up to `wait` for a result. Returns nullopt if the job's state cannot
  // be determined now.
  virtual std::optional<wire::JobPage> ReadJob(Yield yield,
                                               const std::string& organisation,
                                               const std::string& job,
                                               uint64_t after,
                                               Duration wait) = 0;
  virtual std::optional<wire::JobBody> ReadBody(Yield yield,
                                                const std::string& organisation,
                                                const std::string& job,
                                                const std::string& sample) = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_FLEET_INTERFACE_H_
