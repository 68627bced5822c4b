#include <sys/resource.h>

#include <csignal>

#include "control/control_fixture.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

// Makes all writes that extend a file fail, as on a full disk. Affects the
// process, which runs a single test.
class FullDisk {
 public:
  FullDisk() {
    std::signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &before_);
    rlimit none = before_;
    none.rlim_cur = 0;
    setrlimit(RLIMIT_FSIZE, &none);
  }
  ~FullDisk() { setrlimit(RLIMIT_FSIZE, &before_); }

 private:
  rlimit before_{};
};

}  // namespace

// A full disk refuses every write; what it did not store must not count.
Test(full_disk,
     an_instance_gives_up_leadership_until_there_is_room,
     .timeout = 60) {
  ControlFixture fixture;
  fixture.PutConfiguration(1, 1);
  {
    const FullDisk full;
    fixture.OfferConfiguration(2);
    fixture.RunUntil([&] { return !fixture.service().leading(); });
    // Several tries to open the disk again.
    fixture.RunFor(std::chrono::milliseconds(2500));
    cr_assert(!fixture.service().leading());
    cr_assert(!fixture.service().fleet()->KnowsService("service-2"));
  }
  fixture.RunUntil([&] { return fixture.service().leading(); });
  cr_assert(fixture.service().fleet()->KnowsService("service-1"),
            "what was acknowledged before is kept");
  fixture.PutConfiguration(3, 1);
}

}  // namespace limpethatch
