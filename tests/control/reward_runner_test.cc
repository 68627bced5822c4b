#include "programs/control/reward_runner.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "connection/free_endpoint.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using boost::asio::ip::tcp;

constexpr const char* kSigned =
    "Request-Attempt-Id: call\r\nServer-Stamp: stamp\r\n";

// Answers each request with the next of the given bytes and closes the
// connection. Does not answer where these are empty.
class ScriptedTarget {
 public:
  explicit ScriptedTarget(std::vector<std::string> answers)
      : endpoint_(FreeEndpoint()), answers_(std::move(answers)) {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(
        {boost::asio::ip::make_address_v4(endpoint_.host), endpoint_.port});
    acceptor_.listen();
    thread_ = std::thread([this] {
      for (const std::string& answer : answers_) {
        ServeOne(answer);
      }
    });
  }
  ~ScriptedTarget() { thread_.join(); }

  const Endpoint& endpoint() const { return endpoint_; }
  // Of the last request. Valid once its call has ended.
  const std::string& request() const { return request_; }

 private:
  void ServeOne(const std::string& answer) {
    tcp::socket socket(io_);
    acceptor_.accept(socket);
    boost::system::error_code ignored;
    request_.clear();
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request_),
                            "scored text", ignored);
    if (answer.empty()) {
      char byte = 0;  // Returns when the caller closes the connection.
      socket.read_some(boost::asio::buffer(&byte, 1), ignored);
      return;
    }
    boost::asio::write(socket, boost::asio::buffer(answer), ignored);
  }

  const Endpoint endpoint_;
  const std::vector<std::string> answers_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_{io_};
  std::string request_;
  std::thread thread_;
};

class RewardFixture {
 public:
  explicit RewardFixture(const Endpoint& address,
                         const std::string& organisation = "") {
    wire::FleetConfiguration configuration;
    configuration.add_services()->set_name("trial");
    wire::Route& route = *configuration.add_routes();
    route.set_host("trial.example");
    route.set_path_prefix("/score/");
    route.set_max_attempts(3);
    route.add_services()->set_service("trial");
    route.mutable_services(0)->set_weight(1);
    routes.emplace(configuration);

    Target target;
    target.id = "t0";
    target.service = "trial";
    target.address = address;
    target.slots = 6;
    target.incarnation = 7;
    table = TargetTable({target}, nullptr);

    wire::JobSubmit submit;
    submit.set_job("job");
    submit.set_organisation(organisation);
    wire::JobSample& sample = *submit.add_samples();
    sample.set_id("sample");
    wire::RewardCall& call = *sample.mutable_reward_call();
    call.set_id("call");
    call.set_host("trial.example");
    call.set_path("/score/1?coach=2");
    call.set_body("scored text");
    jobs.Apply(submit);
    wire::SamplesAdvance text;
    text.add_advances()->set_job("job");
    text.mutable_advances(0)->add_events("text");
    text.mutable_advances(0)->set_state(wire::SAMPLE_COMPLETED);
    jobs.Apply(text);
  }

  // Starts what the scheduler plans; returns the number of calls.
  size_t Plan() {
    RewardPlan plan =
        scheduler.Plan({.jobs = jobs,
                        .routes = *routes,
                        .targets = table,
                        .rate_limits = limits,
                        .may_run = [](const wire::RewardCall&) { return true; },
                        .random = [] { return 1; }},
                       Clock::now());
    for (const SampleKey& key : plan.stops) {
      runner.Stop(key);
    }
    for (RewardStart& start : plan.starts) {
      runner.Start(std::move(start));
    }
    return plan.starts.size();
  }
  template <typename Condition>
  void RunUntil(Condition condition) {
    while (!condition()) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
  }
  // Plans and runs until `calls` have ended and been recorded.
  void RunCalls(int calls) {
    for (ended = 0; ended < calls;) {
      Plan();
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    io.restart();
    io.run_for(std::chrono::milliseconds(20));
  }
  const JobSampleRecord& record() const { return jobs.Find("job")->samples[0]; }

  boost::asio::io_context io;
  TimerService timers{io};
  JobLedger jobs;
  std::optional<RouteTable> routes;
  TargetTable table;
  TargetRateLimits limits;
  RewardScheduler scheduler{"z0"};
  bool log_available = true;
  int ended = 0;
  int leaving = 0;
  std::vector<UnfinishedRun> unfinished;
  std::pair<uint32_t, uint32_t> load;
  RewardRunner runner{
      io,
      timers,
      scheduler,
      {[this](const wire::SamplesAdvance& advances) {
         if (log_available) {
           jobs.Apply(advances);
         }
         return log_available;
       },
       [this] { ++ended; }, [](auto&, auto, auto) {},
       [this](auto&, auto) { ++leaving; },
       [this](const UnfinishedRun& run, bool) { unfinished.push_back(run); }},
      [this](const std::string&, uint32_t running, uint32_t waiting) {
        load = {running, waiting};
      }};
};

std::string Answer(const std::string& status,
                   const std::string& headers,
                   const std::string& body = "ok") {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

// Guards against targets that get reward calls without the organisation of the
// job, or with one for a job of none.
Test(reward_runner,
     targets_are_told_the_organisation_of_the_job,
     .timeout = 20) {
  for (const std::string organisation : {"hule930", ""}) {
    ScriptedTarget target({Answer("200 OK", kSigned)});
    RewardFixture fixture(target.endpoint(), organisation);
    fixture.RunCalls(1);
    const size_t field = target.request().find("Tenant: hule930\r\n");
    cr_assert((field == std::string::npos) == organisation.empty(), "%s",
              target.request().c_str());
  }
}

Test(reward_runner,
     the_signature_of_a_success_becomes_the_score,
     .timeout = 20) {
  ScriptedTarget target(
      {Answer("200 OK", std::string(kSigned) + "Server-Load: 2,1,6\r\n"
                                               "Server-Leaving: 1\r\n")});
  RewardFixture fixture(target.endpoint());
  fixture.RunCalls(1);
  cr_assert(fixture.record().state == wire::SAMPLE_COMPLETED);
  cr_assert(fixture.record().score == "stamp");
  cr_assert(fixture.load == (std::pair<uint32_t, uint32_t>{2, 1}));
  cr_assert(fixture.leaving == 1);
  const std::string& request = target.request();
  for (const char* part :
       {"POST /score/1?coach=2 HTTP/1.1", "Request-Attempt-Id: call",
        "Host: trial.example", "Expect-Instance: t0", "Deadline-Ms: 3000"}) {
    cr_assert(request.find(part) != std::string::npos, "%s", part);
  }
}

Test(reward_runner,
     errors_of_the_target_end_the_sample_and_refusals_do_not,
     .timeout = 20) {
  const std::string error = Answer("500 Error", kSigned);
  ScriptedTarget target({error, Answer("503 Full", "Not-Run: 1\r\n"), error,
                         Answer("429 Slow", ""), error});
  RewardFixture fixture(target.endpoint());
  // A single target: the exclusion of a failing one ends after a second.
  fixture.RunCalls(5);
  cr_assert(fixture.record().score_failures == 3);
  cr_assert(fixture.record().state == wire::SAMPLE_DEAD);
  cr_assert(fixture.Plan() == 0);
  cr_assert(fixture.runner.counters().given_up == 1);
}

// Truncated, unsigned or foreign answers never become a score.
Test(reward_runner,
     an_answer_that_is_not_the_whole_own_one_is_no_score,
     .timeout = 30) {
  const std::string cut = "HTTP/1.1 200 OK\r\n" + std::string(kSigned) +
                          "Content-Length: 9\r\n\r\nok";
  const std::string no_body =
      "HTTP/1.1 200 OK\r\n" + std::string(kSigned) + "\r\n";
  const std::string foreign =
      Answer("200 OK", "Request-Attempt-Id: other\r\nServer-Stamp: stamp\r\n");
  const std::string not_signed =
      Answer("200 OK", "Request-Attempt-Id: call\r\n");
  ScriptedTarget target({cut, no_body, foreign, not_signed});
  RewardFixture fixture(target.endpoint());
  fixture.RunCalls(4);
  cr_assert(fixture.record().AwaitsScore());
  cr_assert(fixture.record().score_failures == 0);
  cr_assert(fixture.runner.counters().broken == 4);
  cr_assert(fixture.unfinished.size() == 2);
  cr_assert(fixture.unfinished[0].target == "t0" &&
            fixture.unfinished[0].incarnation == 7);
}

Test(reward_runner,
     a_score_is_proposed_again_if_the_log_was_not_available,
     .timeout = 20) {
  ScriptedTarget target({Answer("200 OK", kSigned)});
  RewardFixture fixture(target.endpoint());
  fixture.log_available = false;
  fixture.RunCalls(1);
  cr_assert(fixture.record().AwaitsScore());
  cr_assert(fixture.Plan() == 0, "the call must not run again");
  fixture.log_available = true;
  fixture.RunUntil([&] { return !fixture.record().AwaitsScore(); });
  cr_assert(fixture.record().score == "stamp");
}

Test(reward_runner, a_call_is_cancelled_when_its_job_ends, .timeout = 20) {
  ScriptedTarget target({""});
  RewardFixture fixture(target.endpoint());
  cr_assert(fixture.Plan() == 1);
  fixture.io.restart();
  fixture.io.run_for(std::chrono::milliseconds(100));
  wire::JobEnd end;
  end.set_job("job");
  fixture.jobs.Apply(end);
  fixture.Plan();
  fixture.RunUntil([&] { return fixture.ended == 1; });
  cr_assert(fixture.runner.counters().stopped == 1);
  cr_assert(fixture.unfinished.empty());
}

}  // namespace limpethatch
