// Follows what a control instance tells gateways of targets. Include before
// Criterion.
#ifndef LIMPETHATCH_TESTS_CONTROL_TARGET_NEWS_H_
#define LIMPETHATCH_TESTS_CONTROL_TARGET_NEWS_H_

#include <cstdlib>
#include <map>
#include <string>

#include "control/control_fixture.h"

namespace limpethatch {

class TargetNews {
 public:
  explicit TargetNews(ControlFixture& fixture)
      : endpoint_(FreeEndpoint()),
        messenger_(fixture.io(), {}, [this](auto bytes) {
          wire::Envelope envelope;
          if (!envelope.ParseFromArray(bytes.data(),
                                       static_cast<int>(bytes.size()))) {
            std::abort();
          }
          for (const auto& target : envelope.fleet_news().targets()) {
            targets[target.id()] = target;
          }
        }) {
    if (messenger_.Listen(endpoint_)) {
      std::abort();
    }
    fixture.Watch("gateway", endpoint_, 1);
  }

  // The latest record of each target, by id.
  std::map<std::string, wire::TargetRecord> targets;

 private:
  const Endpoint endpoint_;
  Messenger messenger_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_TESTS_CONTROL_TARGET_NEWS_H_
