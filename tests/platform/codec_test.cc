#include <chrono>
#include <limits>
#include <string>

#include "limpethatch/process/bounded_number.h"
#include "platform/call_codec.h"
#include "platform/configuration_codec.h"
#include "platform/duty_codec.h"
#include "platform/engine_codec.h"
#include "platform/job_codec.h"
#include "platform/json_fields.h"
#include "platform/reward_codec.h"
#include "platform/target_codec.h"

#include <criterion/criterion.h>

namespace limpethatch::platform {
namespace {

constexpr const char* kConfiguration = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","path_prefix":"/j/","kind":"rollout",
   "timeout_ms":10000,"target_latency_ms":500,"priority":0,"service":"s1",
   "max_attempts":3,"max_queue_s":40.0,"result_deadline_ms":7500,
   "single_version":true,"session_affinity":true,"resumable":true},
  {"name":"r2","host":"a.example","path_prefix":"/l/","kind":"safe",
   "timeout_ms":1500,"traffic_split":[{"service":"s1","weight":90},
   {"service":"s2","weight":10}],"max_attempts":2}],
  "services":[{"name":"s1","health_check_path":"/health",
   "connection_limit":325,"engine":{"slots":12,"kv_cache_tokens":26346,
   "stride":43,"models":[{"name":"m"}]}},{"name":"s2"}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":33554432,
   "header_timeout_ms":3000,"idle_timeout_ms":15000},"later":{"x":1}})";

}  // namespace

Test(configuration_codec, a_valid_document_is_decoded_completely) {
  wire::FleetConfiguration configuration;
  std::string problem;
  cr_assert(DecodeConfiguration(kConfiguration, &configuration, &problem));
  cr_assert(configuration.version() == 7);
  cr_assert(configuration.routes(0).kind() == wire::ROUTE_JOBS);
  cr_assert(configuration.routes(0).max_queue_ms() == 40000);
  cr_assert(configuration.routes(0).single_version());
  cr_assert(configuration.routes(1).kind() == wire::ROUTE_IDEMPOTENT);
  cr_assert(configuration.routes(1).services_size() == 2);
  cr_assert(configuration.services(0).tokens_per_event() == 43);
  cr_assert(configuration.services(0).models(0) == "m");
  cr_assert(configuration.limits().idle_timeout_ms() == 15000);
  cr_assert(configuration.document() == kConfiguration);
}

Test(configuration_codec, truncated_and_mistyped_documents_are_refused) {
  const std::string valid = kConfiguration;
  std::string problem;
  for (size_t length = 0; length < valid.size(); length += 7) {
    wire::FleetConfiguration configuration;
    cr_assert(!DecodeConfiguration(valid.substr(0, length), &configuration,
                                   &problem));
  }
  for (const char* invalid :
       {"[]", R"({"version":1})", R"({"version":-1,"routes":[],"services":[]})",
        R"({"version":"1","routes":[],"services":[]})",
        R"({"version":1,"routes":[3],"services":[]})",
        R"({"version":1,"routes":[{"host":"a"}],"services":[]})",
        R"({"version":1,"routes":{},"services":[]})"}) {
    wire::FleetConfiguration configuration;
    cr_assert(!DecodeConfiguration(invalid, &configuration, &problem), "%s",
              invalid);
    cr_assert(!problem.empty());
  }
}

// Guards against numbers that overflow: a long queue time gave all samples up
// at once, and 2^32 attempts became none. No such number makes a configuration
// invalid.
Test(configuration_codec, large_numbers_become_their_bounds) {
  constexpr uint64_t kMaxMs = kMaxBoundedTime / std::chrono::milliseconds(1);
  constexpr uint32_t kMaxCount = std::numeric_limits<uint32_t>::max();
  for (const std::string large :
       {"9223372036854775807", "9223372036854775808", "18446744073709551615",
        "18446744073709551616", "1e19", "1.5e300"}) {
    const std::string document =
        R"({"version":1,"routes":[{"host":"a.example","path_prefix":"/j/",
        "kind":"rollout","service":"s","timeout_ms":)" +
        large + R"(,"target_latency_ms":)" + large + R"(,"priority":)" + large +
        R"(,"max_attempts":)" + large + R"(,"max_queue_s":)" + large +
        R"(,"result_deadline_ms":)" + large +
        R"(}],"services":[{"name":"s","connection_limit":)" + large +
        R"(,"engine":{"kv_cache_tokens":)" + large + R"(,"stride":)" + large +
        R"(}}],"limits":{"max_header_bytes":)" + large +
        R"(,"max_body_bytes":)" + large + R"(,"header_timeout_ms":)" + large +
        R"(,"idle_timeout_ms":)" + large + "}}";
    wire::FleetConfiguration configuration;
    std::string problem;
    cr_assert(DecodeConfiguration(document, &configuration, &problem), "%s: %s",
              large.c_str(), problem.c_str());
    const wire::Route& route = configuration.routes(0);
    cr_assert_eq(route.timeout_ms(), kMaxMs);
    cr_assert_eq(route.target_latency_ms(), kMaxMs);
    cr_assert_eq(route.max_queue_ms(), kMaxMs);
    cr_assert_eq(route.result_deadline_ms(), kMaxMs);
    cr_assert_eq(route.priority(), kMaxCount);
    cr_assert_eq(route.max_attempts(), kMaxCount);
    const wire::ServiceDeclaration& service = configuration.services(0);
    cr_assert_eq(service.connection_limit(), kMaxCount);
    cr_assert_eq(service.tokens_per_event(), kMaxCount);
    cr_assert_eq(service.cache_tokens(), kMaxBoundedSize);
    const wire::CallerLimits& limits = configuration.limits();
    cr_assert_eq(limits.max_header_bytes(), kMaxBoundedSize);
    cr_assert_eq(limits.max_body_bytes(), kMaxBoundedSize);
    cr_assert_eq(limits.header_timeout_ms(), kMaxMs);
    cr_assert_eq(limits.idle_timeout_ms(), kMaxMs);
  }
}

// A time-out below a millisecond is not 0, which would be invalid.
Test(configuration_codec, times_are_rounded_up_to_milliseconds) {
  const std::string document =
      R"({"version":1,"routes":[{"host":"a.example","path_prefix":"/j/",
      "kind":"safe","service":"s","timeout_ms":0.25,"max_queue_s":0.0404,
      "target_latency_ms":150.0}],"services":[{"name":"s"}]})";
  wire::FleetConfiguration configuration;
  std::string problem;
  cr_assert(DecodeConfiguration(document, &configuration, &problem));
  cr_assert_eq(configuration.routes(0).timeout_ms(), 1);
  cr_assert_eq(configuration.routes(0).max_queue_ms(), 41);
  cr_assert_eq(configuration.routes(0).target_latency_ms(), 150);
}

Test(configuration_codec, an_unknown_route_kind_is_not_idempotent) {
  wire::FleetConfiguration configuration;
  std::string problem;
  cr_assert(DecodeConfiguration(
      R"({"version":1,"services":[],"routes":[{"host":"a","path_prefix":"/",
          "kind":"keyed","timeout_ms":1,"service":"s"}]})",
      &configuration, &problem));
  cr_assert(configuration.routes(0).kind() == wire::ROUTE_NON_IDEMPOTENT);
}

Test(target_codec, an_announcement_requires_each_member_with_its_type) {
  const std::string valid =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",
          "slots":12,"state":"ready","cold_remaining_ms":0,"stage":"both",
          "born":1770000000000,"models":[{"name":"m","version":3,"adapters":[]}],
          "sequence":4})";
  wire::TargetRecord target;
  std::string problem;
  cr_assert(DecodeAnnouncement("i-1", valid, &target, &problem), "%s",
            problem.c_str());
  cr_assert(target.weights(0).version() == 3 && target.sequence() == 4);
  cr_assert(target.software_version() == "v1");
  const auto refused = [&](std::string_view from, std::string_view to) {
    std::string text = valid;
    text.replace(text.find(from), from.size(), to);
    wire::TargetRecord other;
    return !DecodeAnnouncement("i-1", text, &other, &problem);
  };
  cr_assert(refused("\"ready\"", "\"asleep\""));
  cr_assert(refused("\"version\":\"v1\"", "\"version\":1"));
  cr_assert(refused("\"slots\":12", "\"slots\":\"12\""));
  cr_assert(refused("1770000000000", "1.5"));
  cr_assert(refused("10.0.0.9:80", "nowhere"));
  cr_assert(refused("\"sequence\":4", "\"other\":4"));
  for (const char* name : {"service", "address", "zone", "version", "slots",
                           "state", "cold_remaining_ms", "born", "sequence"}) {
    cr_assert(refused("\"" + std::string(name) + "\":", "\"other\":"), "%s",
              name);
  }
  cr_assert(refused("{\"service\"", "\xff{\"service\""));
}

// An odd entry of another writer ended the processes that read it, or was
// passed on to some that could not read it.
Test(target_codec, odd_announcements_are_refused_with_a_reason) {
  const std::string valid =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",
          "slots":12,"state":"ready","cold_remaining_ms":0,"stage":"both",
          "born":1770000000000,"models":[{"name":"m","version":3,"adapters":[]}],
          "sequence":4})";
  const auto refused = [&](std::string_view id, std::string_view from,
                           const std::string& to) {
    std::string text = valid;
    text.replace(text.find(from), from.size(), to);
    wire::TargetRecord target;
    std::string problem;
    return !DecodeAnnouncement(id, text, &target, &problem) && !problem.empty();
  };
  cr_assert_not(refused("i-1", "\"z\"", "\"zone-2\""));
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  cr_assert(refused("i-1", "\"z\"", deep));
  cr_assert(refused("i-1", "\"s\"", std::string(100'000, '{')));
  cr_assert(refused("i-1", "\"slots\"", "\"more\":" + deep + ",\"slots\""));
  for (const char* number : {"4294967297", "18446744073709551615",
                             "18446744073709551616", "1e400", "-1", "1e3"}) {
    cr_assert(refused("i-1", "12,", std::string(number) + ","), "%s", number);
  }
  for (const char* number : {"18446744073709551615", "9007199254740993"}) {
    cr_assert(refused("i-1", "1770000000000", number));
    cr_assert(refused("i-1", "\"sequence\":4",
                      "\"sequence\":" + std::string(number)));
    cr_assert(
        refused("i-1", "\"version\":3", "\"version\":" + std::string(number)));
  }
  for (const char* address :
       {"10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:99999999999",
        "10.0.0.256:80", "10.0.0.9:", "10.0.0.9"}) {
    cr_assert(refused("i-1", "10.0.0.9:80", address), "%s", address);
  }
  cr_assert(refused("i-1", "\"z\"", "\"" + std::string(5000, 'z') + "\""));
  cr_assert(refused("i-1", "\"z\"", "\"\xc3\x28\""));
  cr_assert(refused("", "\"z\"", "\"z\""));
  cr_assert(refused("i-\xff", "\"z\"", "\"z\""));
  cr_assert(refused(std::string(5000, 'i'), "\"z\"", "\"z\""));
}

Test(job_codec, a_submission_is_decoded_with_its_lengths) {
  wire::JobSubmit submit;
  std::string problem;
  cr_assert(DecodeSubmission(
      R"({"step":7,"model":"m","min_version":6,"group_count":12,"items":[
          {"id":"e5","path":"/p/3","headers":{"Token-Counts":"540,400",
           "Length-Hint":"90"},"body":"q83vEjRWeJA=","tokens":940,
           "group":"g1"}]})",
      &submit, &problem));
  const wire::JobSample& sample = submit.samples(0);
  cr_assert(sample.body() ==
            std::string("\xab\xcd\xef\x12\x34\x56\x78\x90", 8));
  cr_assert(sample.prompt_tokens() == 540 && sample.expected_tokens() == 90);
  cr_assert(submit.group_count() == 12 && submit.min_version() == 6);
}

// Guards against sums of lengths that overflow, so that a long sample counted
// as a short one, and against 2^32 groups that counted as none stated.
Test(job_codec, large_lengths_and_counts_become_their_bounds) {
  for (const std::string large : {"9223372036854775808", "18446744073709551615",
                                  "18446744073709551616"}) {
    wire::JobSubmit submit;
    std::string problem;
    cr_assert(
        DecodeSubmission(
            R"({"group_count":)" + large + R"(,"items":[{"id":"a","path":"/a",
        "tokens":)" +
                large + R"(,"headers":{"Token-Counts":")" + large + "," +
                large +
                R"("}},{"id":"b","path":"/b","headers":{"Length-Hint":")" +
                large + R"("}}]})",
            &submit, &problem),
        "%s", problem.c_str());
    cr_assert_eq(submit.group_count(), std::numeric_limits<uint32_t>::max());
    cr_assert_eq(submit.samples(0).tokens(), kMaxBoundedSize);
    cr_assert_eq(submit.samples(0).prompt_tokens(), kMaxBoundedSize);
    cr_assert_eq(submit.samples(0).expected_tokens(), kMaxBoundedSize);
    cr_assert_eq(submit.samples(1).expected_tokens(), kMaxBoundedSize);
  }
}

Test(job_codec, invalid_submissions_are_refused) {
  std::string problem;
  for (const char* invalid :
       {"", "{", R"({"items":5})", R"({"items":[5]})",
        R"({"items":[{"id":"a"}]})",
        R"({"items":[{"id":"a","path":"/p","body":"*"}]})",
        R"({"items":[{"id":"a","path":"/p"},{"id":"a","path":"/p"}]})",
        R"({"items":[{"id":"a","path":"/p","scoring_endpoint":5}]})",
        R"({"items":[{"id":"a","path":"/p","scoring_endpoint":
            {"host":"h","path":"/s"}}]})",
        R"({"items":[{"id":"a","path":"/p","scoring_endpoint":
            {"id":"","host":"h","path":"/s"}}]})",
        R"({"items":[{"id":"a","path":"/p","scoring_endpoint":
            {"id":"r","host":"h","path":"s"}}]})",
        R"({"items":[{"id":"a","path":"/p","scoring_endpoint":
            {"id":"r","host":"h\r\nX: y","path":"/s"}}]})",
        R"({"items":[{"id":"a","path":"/p","scoring_endpoint":
            {"id":"r","host":"h","path":"/s","body":"*"}}]})"}) {
    wire::JobSubmit submit;
    cr_assert(!DecodeSubmission(invalid, &submit, &problem), "%s", invalid);
  }
}

Test(job_codec, a_scoring_endpoint_becomes_a_reward_call) {
  wire::JobSubmit submit;
  std::string problem;
  cr_assert(DecodeSubmission(
      R"({"items":[{"id":"a","path":"/p","scoring_endpoint":{"id":"40c8",
          "host":"f.example","path":"/p/5e07?q=1","body":"3q2+7w=="}},
          {"id":"b","path":"/p"}]})",
      &submit, &problem));
  cr_assert(!submit.samples(1).has_reward_call());
  const HttpRequest request = EncodeRewardCall(submit.samples(0).reward_call());
  cr_assert(request.method == "POST" && request.path == "/p/5e07");
  cr_assert(request.query == "q=1" && request.body == "\xde\xad\xbe\xef");
  cr_assert(request.headers.Get("Host") == "f.example");
  cr_assert(request.headers.Get("Request-Attempt-Id") == "40c8");
}

Test(reward_codec, only_a_signed_success_of_the_same_call_is_a_score) {
  HttpHeaders headers;
  headers.Set("Request-Attempt-Id", "40c8");
  headers.Set("Server-Stamp", "stamp");
  cr_assert(DecodeRewardHead(200, headers, "40c8").answer ==
            RewardAnswer::kScored);
  cr_assert(DecodeRewardHead(200, headers, "40c8").score == "stamp");
  cr_assert(DecodeRewardHead(200, headers, "other").answer ==
            RewardAnswer::kMismatched);
  cr_assert(DecodeRewardHead(500, headers, "40c8").answer ==
            RewardAnswer::kFailed);
  cr_assert(DecodeRewardHead(504, headers, "40c8").answer ==
            RewardAnswer::kUnexpected);
  for (const int refusal : {408, 421, 429, 503}) {
    cr_assert(DecodeRewardHead(refusal, headers, "40c8").answer ==
              RewardAnswer::kNotRun);
  }
  headers.Set("Not-Run", "1");
  cr_assert(DecodeRewardHead(500, headers, "40c8").answer ==
            RewardAnswer::kNotRun);
  headers.Remove("Not-Run");
  headers.Remove("Server-Stamp");
  cr_assert(DecodeRewardHead(200, headers, "40c8").answer ==
            RewardAnswer::kMismatched);
}

Test(job_codec, a_page_has_the_scores_of_its_results) {
  wire::JobPage page;
  page.set_total(1);
  page.set_next(1);
  wire::JobResult& result = *page.add_results();
  result.set_id("s1");
  result.set_state(wire::SAMPLE_COMPLETED);
  result.set_score("stamp");
  cr_assert(EncodePage(page) ==
            R"({"total":1,"next_page_token":1,"results":[)"
            R"({"id":"s1","state":"completed","text":"","versions":[],)"
            R"("score":"stamp"}]})");
}

Test(job_codec, a_page_is_one_json_object_with_its_results_in_order) {
  wire::JobPage page;
  page.set_total(3);
  page.set_next(2);
  cr_assert(EncodePage(page) ==
            R"({"total":3,"next_page_token":2,"results":[]})");
  wire::JobResult& first = *page.add_results();
  first.set_id("s1");
  first.set_state(wire::SAMPLE_COMPLETED);
  first.set_text("a \"quoted\"\nline");
  first.add_versions(6);
  first.add_versions(7);
  wire::JobResult& second = *page.add_results();
  second.set_id("s0");
  second.set_state(wire::SAMPLE_DEAD);
  cr_assert(EncodePage(page) ==
            R"({"total":3,"next_page_token":2,"results":[)"
            R"({"id":"s1","state":"completed","text":"a \"quoted\"\nline",)"
            R"("versions":[6,7]},)"
            R"({"id":"s0","state":"dead","text":"","versions":[]}]})");
}

Test(call_codec, hop_by_hop_headers_are_not_forwarded) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/l/x";
  request.body = "content";
  request.headers.Add("Host", "a.example");
  request.headers.Add("Request-Attempt-Id", "id1");
  request.headers.Add("Deadline-Ms", "800");
  request.headers.Add("Connection", "keep-alive, X-Hop");
  request.headers.Add("X-Hop", "1");
  request.headers.Add("X-Kept", "1");
  request.headers.Add("X-Kept", "2");
  const HttpRequest sent =
      MakeTargetRequest(request, "i-1", std::chrono::milliseconds(500), {});
  cr_assert(sent.headers.Get("Host") == "a.example");
  cr_assert(sent.headers.Get("Deadline-Ms") == "500");
  cr_assert(sent.headers.Get("Expect-Instance") == "i-1");
  cr_assert(sent.headers.Get("X-Hop").empty());
  cr_assert(sent.headers.Get("Connection").empty());
  int kept = 0;
  for (const auto& [name, value] : sent.headers.all()) {
    kept += name == "X-Kept" ? 1 : 0;
  }
  cr_assert(kept == 2);
}

// Guards against an overflow: a caller who waits for long was refused at once.
Test(call_codec, a_large_deadline_is_a_long_one) {
  for (const char* large :
       {"9223372036855", "9999999999999", "9223372036854775808",
        "18446744073709551615", "18446744073709551616"}) {
    HttpRequest request;
    request.headers.Set("Deadline-Ms", large);
    cr_assert(DecodeCallerHeaders(request).timeout == kMaxBoundedTime, "%s",
              large);
  }
  HttpRequest resumed;
  resumed.headers.Set("Last-Event-Id", "18446744073709551616");
  cr_assert(DecodeCallerHeaders(resumed).resumes_stream);
}

// Guards against 2^32 running requests that counted as none.
Test(call_codec, large_load_figures_stay_large) {
  HttpHeaders headers;
  headers.Set("Server-Load", "4294967296,18446744073709551616,8");
  const auto decoded = DecodeTargetAnswerHeaders(200, headers, "");
  cr_assert(decoded.running == std::numeric_limits<uint32_t>::max());
  cr_assert(decoded.waiting == std::numeric_limits<uint32_t>::max());
}

Test(call_codec, an_answer_of_another_request_is_recognised) {
  HttpHeaders headers;
  headers.Set("Request-Attempt-Id", "other");
  headers.Set("Server-Stamp", "s");
  cr_assert(!DecodeTargetAnswerHeaders(200, headers, "mine").matches_request);
  cr_assert(DecodeTargetAnswerHeaders(200, headers, "other").is_signed);
  headers.Set("Content-Encoding", "gzip");
  cr_assert(!DecodeTargetAnswerHeaders(200, headers, "other").is_signed);
  HttpHeaders refused;
  refused.Set("Not-Run", "1");
  cr_assert(DecodeTargetAnswerHeaders(503, refused, "mine").not_run);
  cr_assert(DecodeTargetAnswerHeaders(421, {}, "mine").not_run);
  cr_assert(!DecodeTargetAnswerHeaders(503, {}, "mine").not_run);
}

// Guards against a load that is misread, or whose faults are not told.
Test(call_codec, a_load_has_four_figures_or_counts_as_malformed) {
  const auto decode = [](const char* text) {
    HttpHeaders headers;
    headers.Set("Server-Load", text);
    return DecodeTargetAnswerHeaders(200, headers, "mine");
  };
  const auto whole = decode("2, 1,6,137 ");
  cr_assert(whole.load && !whole.load_malformed);
  cr_assert(*whole.load ==
            (LoadReport{.running = 2, .waiting = 1, .slots = 6, .pace = 1.37}));
  cr_assert(whole.running == 2U);
  const auto huge = decode("99999999999999999999,0,6,100");
  cr_assert(huge.load && huge.load->running == UINT32_MAX);
  for (const char* text : {"2,1,6", "2,1", "2", "", " "}) {
    const auto less = decode(text);
    cr_assert(!less.load && !less.load_malformed, "%s", text);
  }
  for (const char* text :
       {"2,1,6,", "2,1,6,x", ",,,", "-1,0,6,100", "2,1,6,100,3", "2,1,6,1e2",
        "2,1,6,99.5", "2;1;6;100", "2,1,6,100x", ",1,6,100", "nan,0,6,100"}) {
    const auto wrong = decode(text);
    cr_assert(!wrong.load && wrong.load_malformed, "%s", text);
  }
}

Test(engine_codec, events_are_parsed_across_any_chunk_boundary) {
  const std::string stream =
      "id: 1\ndata: one\n\nweight-versions: 7\nid: 2\ndata: two\n\n"
      "id:3\r\ndata:three\r\n\r\nid: 4\ndata: fo";
  for (size_t step = 1; step < stream.size(); ++step) {
    EventParser parser;
    std::string seen;
    for (size_t at = 0; at < stream.size(); at += step) {
      parser.Feed(std::string_view(stream).substr(at, step));
      while (const auto event = parser.Next()) {
        seen += std::to_string(event->id) + event->data +
                std::to_string(event->version) + ";";
      }
    }
    cr_assert(seen == "1one0;2two7;3three0;", "%s", seen.c_str());
    cr_assert(parser.HasPartialEvent());
  }
}

Test(engine_codec, sample_answers_are_classified_by_status_and_headers) {
  HttpHeaders headers;
  headers.Set("Request-Attempt-Id", "e5");
  headers.Set("Server-Stamp", "s");
  headers.Set("Weight-Versions", "9");
  cr_assert(DecodeSampleHead(200, headers, "e5").answer ==
            SampleAnswer::kStream);
  cr_assert(DecodeSampleHead(200, headers, "e5").version == 9);
  cr_assert(DecodeSampleHead(500, headers, "e5").answer ==
            SampleAnswer::kFailed);
  cr_assert(DecodeSampleHead(422, headers, "e5").answer ==
            SampleAnswer::kUnprocessable);
  // Guards against a sample that is given up after answers that are no failed
  // attempts.
  for (const int status : {201, 204, 302, 400, 404, 418, 501, 502, 503, 504}) {
    cr_assert(DecodeSampleHead(status, headers, "e5").answer ==
                  SampleAnswer::kUnexpectedStatus,
              "%d", status);
  }
  cr_assert(DecodeSampleHead(200, headers, "other").answer ==
            SampleAnswer::kMismatched);
  headers.Set("Not-Run", "1");
  cr_assert(DecodeSampleHead(503, headers, "e5").answer ==
            SampleAnswer::kNotRun);
}

Test(engine_codec, the_order_count_is_read_from_a_report) {
  HttpResponse response;
  response.body =
      R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],
          "busy":false,"sequence":2,"kv_used":1})";
  const auto status = DecodeEngineStatus(response);
  cr_assert(status && status->orders == 2 && !status->busy);
  cr_assert(status->weights[0].model() == "m");
  response.body = "{}";
  cr_assert(!DecodeEngineStatus(response));
}

Test(codec, a_rate_limit_is_a_number_of_zero_or_more) {
  const auto decode = [](const char* text) {
    HttpHeaders headers;
    headers.Set("Server-Limit", text);
    return DecodeRateLimit(headers);
  };
  cr_assert_eq(decode("4.4").value_or(-1), 4.4);
  cr_assert_eq(decode(" 3 ").value_or(-1), 3.0);
  cr_assert_eq(decode("0").value_or(-1), 0.0);
  for (const char* text : {"", "x", "1.5x", "-1", "nan", "inf", "1e999"}) {
    cr_assert_not(decode(text).has_value(), "%s", text);
  }
}

// Guards against repeats of a report that the platform takes for another one.
Test(duty_codec, a_usage_report_depends_on_its_window_and_holder_only) {
  wire::UsageWindow window;
  window.set_number(353445120);
  wire::OrganisationUsage& usage = *window.add_counts();
  usage.set_organisation("hule930");
  usage.set_requests(412);
  const HttpRequest request = EncodeUsageReport(window, {"control-1", 7});
  cr_assert(request.method == "POST");
  cr_assert(request.path == "/usage");
  cr_assert(request.headers.Get("Duty-Holder") == "control-1");
  cr_assert(request.headers.Get("Fencing-Token") == "7");
  cr_assert(request.body ==
            R"({"window_number":353445120,"counts":{"hule930":412}})");
}

// Guards against a holder that goes on after a higher token was seen, and
// against a window that is taken for reported although it was not.
Test(duty_codec, only_200_acknowledges_and_409_fences) {
  cr_assert(DecodeDutyAnswer(200) == DutyAnswer::kDone);
  cr_assert(DecodeDutyAnswer(409) == DutyAnswer::kFenced);
  cr_assert(DecodeDutyAnswer(429) == DutyAnswer::kLimited);
  for (const int status : {202, 400, 404, 500, 503}) {
    cr_assert(DecodeDutyAnswer(status) == DutyAnswer::kFailed);
  }
}

// Guards against documents of short values, which take many times their size in
// memory.
Test(json_fields, a_document_is_decoded_within_the_memory_that_it_may_take) {
  constexpr size_t kMemory = 100'000;
  std::string zeros = R"({"items":[0)";
  for (int i = 0; i < 20'000; ++i) {
    zeros += ",0";
  }
  zeros += "]}";
  wire::JobSubmit submit;
  std::string problem;
  cr_assert(!DecodeSubmission(zeros, &submit, &problem, kMemory));
  cr_assert(problem == kTooMuchMemory);
  problem.clear();
  const auto object =
      ParseObject(R"({"a":[1,2,{"b":"text"}]})", kMemory, &problem);
  cr_assert(object && problem.empty());
  cr_assert(object->at("a").as_array().size() == 3);
  cr_assert(!ParseObject("[]", kMemory, &problem));
  cr_assert(problem == "the body is not a JSON object");
}

}  // namespace limpethatch::platform
