#include "limpethatch/version/step_ledger.h"

#include "version/step_simulation.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using testing::StepEvent;
using testing::StepSimulation;

rc::Gen<std::vector<StepEvent>> StepEvents() {
  return rc::gen::scale(
      4.0,
      rc::gen::container<std::vector<StepEvent>>(rc::gen::build<StepEvent>(
          rc::gen::set(&StepEvent::kind,
                       rc::gen::resize(100, rc::gen::arbitrary<uint8_t>())),
          rc::gen::set(&StepEvent::choice,
                       rc::gen::resize(100, rc::gen::arbitrary<uint16_t>())))));
}

}  // namespace

Test(step_ledger,
     every_sample_is_delivered_once_complete_and_within_its_bound) {
  cr_assert(rc::check("under any interleaving", [] {
    StepSimulation simulation;
    simulation.Handle({0, 0});
    for (const auto& event : *StepEvents()) {
      simulation.Handle(event);
    }
    simulation.RunToCompletion();
  }));
}

}  // namespace limpethatch
