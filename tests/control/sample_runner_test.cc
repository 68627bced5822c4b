#include "programs/control/sample_runner.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "connection/free_endpoint.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using boost::asio::ip::tcp;

// What an engine answers; by default two events and a part of the third.
struct EngineAnswer {
  std::string status = "200 OK";
  std::string weights = "5";
  std::string more_headers{};
  std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
};

// An engine that answers one request, and keeps its head.
class BreakingEngine {
 public:
  explicit BreakingEngine(EngineAnswer answer = {})
      : endpoint_(FreeEndpoint()), answer_(std::move(answer)) {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(
        {boost::asio::ip::make_address_v4(endpoint_.host), endpoint_.port});
    acceptor_.listen();
    thread_ = std::thread([this] { Serve(); });
  }
  ~BreakingEngine() { thread_.join(); }

  const Endpoint& endpoint() const { return endpoint_; }
  // Valid once the answer has arrived.
  const std::string& request_head() const { return request_head_; }

 private:
  void Serve() {
    tcp::socket socket(io_);
    acceptor_.accept(socket);
    boost::system::error_code ignored;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request_head_),
                            "\r\n\r\n", ignored);
    const std::string answer =
        "HTTP/1.1 " + answer_.status +
        "\r\nRequest-Attempt-Id: sample\r\n"
        "Server-Stamp: stamp\r\nWeight-Versions: " +
        answer_.weights + "\r\n" + answer_.more_headers +
        "Content-Length: " + std::to_string(answer_.events.size()) +
        "\r\n\r\n" + answer_.events;
    boost::asio::write(socket, boost::asio::buffer(answer), ignored);
  }

  const Endpoint endpoint_;
  const EngineAnswer answer_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_{io_};
  std::string request_head_;
  std::thread thread_;
};

constexpr uint64_t kPromptTokens = 1000;

class RunnerFixture {
 public:
  // `tokens`: of the prompt and the most output; 0: not stated.
  explicit RunnerFixture(uint64_t tokens = 0,
                         const std::string& organisation = "") {
    wire::JobSubmit submit;
    submit.set_organisation(organisation);
    wire::HeaderField claim;
    claim.set_name("Tenant");
    claim.set_value("claimed");
    submit.set_job("job");
    submit.set_service("coach");
    submit.set_model("model");
    submit.set_host("shop.example");
    wire::JobSample& sample = *submit.add_samples();
    sample.set_id("sample");
    sample.set_path("/s");
    sample.set_tokens(tokens);
    sample.set_prompt_tokens(tokens == 0 ? 0 : kPromptTokens);
    *sample.add_headers() = claim;
    jobs.Apply(submit);
  }

  // The engine announces version 5 of the model's weights.
  void Announce(const Endpoint& address,
                const std::string& id,
                const std::string& software_version) {
    wire::TargetRecord record;
    record.set_id(id);
    record.set_service("coach");
    record.set_address(address.ToString());
    record.set_born_ms(1);
    record.set_software_version(software_version);
    wire::ModelWeights& weights = *record.add_weights();
    weights.set_model("model");
    weights.set_version(5);
    scheduler.engine_table().Announce(record);
  }

  // Runs the sample on `engine` until the run has ended. The engine is asked
  // for `version` of the weights.
  void Run(const BreakingEngine& engine,
           const std::string& id,
           const std::string& software_version,
           uint64_t version = 5) {
    Announce(engine.endpoint(), id, software_version);
    if (version != 5) {
      // An earlier answer has stated this version, which was put into force.
      scheduler.engine_table().SetNewestVersions({{"model", version}});
      scheduler.engine_table().ConfirmVersion(id, "model", version);
    }
    const uint64_t broken_before = runner.counters().broken;
    runner.Start({{"job", 0}, id, version, software_version}, *jobs.Find("job"),
                 keys_required);
    while (runner.counters().broken == broken_before &&
           runner.counters().finished == 0 && runner.counters().not_run == 0) {
      io.run_one();
    }
  }

  // The version of the weights that the engine is believed to have.
  uint64_t BelievedVersion(const std::string& id) {
    return scheduler.engine_table().Find(id)->models.at("model").version;
  }

  bool keys_required = false;  // Whether organisations are configured.
  int leaving = 0;             // Engines that said that they are leaving.
  JobLedger jobs;
  std::vector<wire::SamplesAdvance> recorded;
  boost::asio::io_context io;
  TimerService timers{io};
  SampleScheduler scheduler;
  SampleRunner runner{io,
                      timers,
                      scheduler,
                      {[this](const wire::SamplesAdvance& advances) {
                         recorded.push_back(advances);
                         return true;
                       },
                       [] {}, [](auto&, auto, auto) {},
                       [this](auto&, auto) { ++leaving; }, [](auto&, bool) {}}};
};

}  // namespace

// A stream that had broken off was continued by an engine of another software
// version, and the text was joined from both. The events were not recorded yet,
// so that only the runner knew of them.
Test(sample_runner, unrecorded_text_is_not_continued_by_another_software) {
  BreakingEngine first;
  BreakingEngine second;
  RunnerFixture fixture;
  fixture.Run(first, "i-1", "v1");
  fixture.Run(second, "i-2", "v2");
  cr_assert(second.request_head().find("Last-Event-Id") == std::string::npos,
            "%s", second.request_head().c_str());
  fixture.runner.Flush();
  for (const wire::SamplesAdvance& advances : fixture.recorded) {
    fixture.jobs.Apply(advances);
  }
  const SampleText& output = fixture.jobs.Find("job")->samples[0].output;
  cr_assert(output.text == "a\nb", "%s", output.text.c_str());
  cr_assert(output.software_version == "v2");
}

Test(sample_runner, unrecorded_text_is_continued_by_the_same_software) {
  BreakingEngine first;
  BreakingEngine second;
  RunnerFixture fixture;
  fixture.Run(first, "i-1", "v1");
  fixture.Run(second, "i-2", "v1");
  cr_assert(second.request_head().find("Last-Event-Id: 2") !=
            std::string::npos);
}

// One event that was not UTF-8 made the replicas drop the command with the
// events of all running samples.
Test(sample_runner,
     an_event_that_is_not_utf8_ends_its_run_only,
     .timeout = 30) {
  BreakingEngine engine({.events = "id: 1\ndata: a\n\nid: 2\ndata: \xFF\n\n"});
  RunnerFixture fixture;
  fixture.Run(engine, "i-1", "v1");
  fixture.runner.Flush();
  cr_assert(fixture.recorded.size() == 1);
  wire::SamplesAdvance read;
  cr_assert(read.ParseFromString(fixture.recorded.front().SerializeAsString()));
  cr_assert(read.advances(0).events_size() == 1);
  cr_assert(read.advances(0).events(0) == "a");
}

// Guards against one wrong answer that is believed for good: the engine was
// asked for weights that nobody had named, and no other engine loaded those
// that were.
Test(sample_runner, an_answer_that_states_unknown_weights_is_not_believed) {
  BreakingEngine by_header({.weights = "9", .events = "id: 1\ndata: a\n\n"});
  BreakingEngine by_event({.events = "id: 1\nweight-versions: 9\ndata: a\n\n"});
  RunnerFixture fixture;
  fixture.Run(by_header, "i-1", "v1");
  fixture.Run(by_event, "i-2", "v1");
  fixture.runner.Flush();
  cr_assert_eq(fixture.BelievedVersion("i-1"), 5);
  cr_assert_eq(fixture.BelievedVersion("i-2"), 5);
  cr_assert(fixture.recorded.empty());
}

// Guards against a sample that is given up after odd answers of engines in
// trouble: only an error of their own is a failed attempt.
Test(sample_runner, only_a_500_counts_as_a_failed_attempt, .timeout = 30) {
  RunnerFixture fixture;
  int engines = 0;
  for (const char* status :
       {"000 Odd", "600 Odd", "404 Not Found", "503 Service Unavailable"}) {
    for (int i = 0; i < 2; ++i) {
      BreakingEngine engine({.status = status, .events = ""});
      fixture.Run(engine, "i-" + std::to_string(++engines), "v1");
    }
  }
  fixture.runner.Flush();
  cr_assert(fixture.recorded.empty());
  cr_assert_eq(fixture.runner.counters().failed, 0);
  BreakingEngine engine({.status = "500 Internal Server Error", .events = ""});
  fixture.Run(engine, "i-500", "v1");
  fixture.runner.Flush();
  cr_assert_eq(fixture.recorded.size(), 1);
}

// Guards against a label of weights that did not generate the text.
Test(sample_runner, an_answer_that_states_older_weights_is_not_recorded) {
  BreakingEngine by_header({.weights = "4", .events = "id: 1\ndata: a\n\n"});
  BreakingEngine by_event({.events = "id: 1\nweight-versions: 4\ndata: a\n\n"});
  RunnerFixture fixture;
  fixture.Run(by_header, "i-1", "v1");
  fixture.Run(by_event, "i-2", "v1");
  fixture.runner.Flush();
  cr_assert(fixture.recorded.empty());
}

// Guards against a wrong belief that nothing corrects: the engine refused the
// version again and again, and counted as one that has it.
Test(sample_runner, an_engine_that_refuses_a_version_does_not_have_it) {
  BreakingEngine engine({.status = "421 Misdirected",
                         .weights = "0",
                         .more_headers = "Not-Run: 1\r\n",
                         .events = ""});
  RunnerFixture fixture;
  fixture.Run(engine, "i-1", "v1", 7);
  cr_assert_eq(fixture.BelievedVersion("i-1"), 5);
}

// Events without an end, each of them valid, filled the memory of the leader,
// and a text of 16 MB was listed as completed.
Test(sample_runner, more_output_than_a_sample_allows_ends_the_run) {
  std::string events;
  for (int id = 1; id <= 5000; ++id) {
    events += "id: " + std::to_string(id) +
              "\ndata: " + std::string(1000, 'x') + "\n\n";
  }
  BreakingEngine engine({.events = events});
  RunnerFixture fixture(kPromptTokens + 100);
  fixture.Run(engine, "i-1", "v1");
  fixture.runner.Flush();
  for (const wire::SamplesAdvance& advances : fixture.recorded) {
    fixture.jobs.Apply(advances);
  }
  const JobSampleRecord& record = fixture.jobs.Find("job")->samples[0];
  cr_assert(record.state == wire::SAMPLE_OPEN && record.output.text.empty());
  cr_assert_eq(fixture.runner.counters().limits_exceeded, 1);
  cr_assert_eq(fixture.runner.held_bytes(), 0);
  cr_assert(!fixture.scheduler.engine_table().Find("i-1")->Usable(
      Clock::now() + EngineTable::kFaultPause - std::chrono::seconds(1)));
}

// Items stayed at an engine that sent events without text.
Test(sample_runner, empty_events_without_an_end_end_the_run) {
  std::string events;
  for (int id = 1; id <= 100; ++id) {
    events += "id: " + std::to_string(id) + "\ndata: \n\n";
  }
  BreakingEngine engine({.events = events});
  RunnerFixture fixture(kPromptTokens + 100);
  fixture.Run(engine, "i-1", "v1");
  cr_assert_eq(fixture.runner.counters().limits_exceeded, 1);
}

// Guards against engines that believe the organisation that a submission
// claims, also for a job that was submitted before organisations were
// configured.
Test(sample_runner, engines_are_told_the_organisation_of_the_job) {
  struct Case {
    std::string organisation;
    bool keys_required = false;
    std::string told;
  };
  for (const Case& each : std::vector<Case>{{"hule930", true, "hule930"},
                                            {"hule930", false, "hule930"},
                                            {"", true, ""},
                                            {"", false, "claimed"}}) {
    BreakingEngine engine;
    RunnerFixture fixture(0, each.organisation);
    fixture.keys_required = each.keys_required;
    fixture.Run(engine, "i-1", "v1");
    const std::string& head = engine.request_head();
    if (each.told.empty()) {
      cr_assert(head.find("Tenant:") == std::string::npos, "%s", head.c_str());
    } else {
      cr_assert(head.find("Tenant: " + each.told + "\r\n") != std::string::npos,
                "%s", head.c_str());
    }
  }
}

// Guards against sending further samples to an engine that leaves.
Test(sample_runner, an_engine_that_says_it_leaves_is_reported) {
  BreakingEngine staying;
  BreakingEngine leaving({.more_headers = "Server-Leaving: 1\r\n"});
  RunnerFixture fixture;
  fixture.Run(staying, "i-1", "v1");
  cr_assert_eq(fixture.leaving, 0);
  fixture.Run(leaving, "i-2", "v1");
  cr_assert_eq(fixture.leaving, 1);
}

}  // namespace limpethatch
