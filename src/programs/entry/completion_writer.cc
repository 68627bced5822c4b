#include "programs/entry/completion_writer.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "limpethatch/request/digest.h"
#include "programs/entry/json_response.h"

namespace limpethatch {
namespace {

constexpr std::string_view kStreamTerminator = "data: [DONE]\n\n";

boost::json::object GenerationSummary(const Generation& generation) {
  boost::json::array ranges;
  for (const auto& [version, first, end] : generation.ranges()) {
    ranges.push_back(boost::json::object{
        {"version", version}, {"first_token", first}, {"end_token", end}});
  }
  return {{"tokens", generation.tokens()},
          {"ranges", std::move(ranges)},
          {"digest", DigestToHex(generation.Digest())}};
}

}  // namespace

boost::json::object CompletionWriter::MakeEvent(
    std::string_view text,
    const boost::json::value& finish_reason,
    boost::json::object detail) const {
  boost::json::array choices;
  choices.push_back(boost::json::object{
      {"index", 0}, {"text", text}, {"finish_reason", finish_reason}});
  return {{"id", id_},
          {"object", "text_completion"},
          {"model", model_},
          {"choices", std::move(choices)},
          {"limpethatch", std::move(detail)}};
}

std::error_code CompletionWriter::WriteEvent(const boost::json::object& event) {
  if (!started_) {
    started_ = true;
    HttpHeaders headers;
    headers.Set("Content-Type", "text/event-stream");
    headers.Set("Cache-Control", "no-cache");
    if (const std::error_code error = exchange_.StartStream(200, headers)) {
      return error;
    }
  }
  return exchange_.WriteChunk("data: " + boost::json::serialize(event) +
                              "\n\n");
}

std::error_code CompletionWriter::WritePiece(const GenerationPiece& piece) {
  if (!stream_) {
    return {};
  }
  return WriteEvent(MakeEvent(piece.text, nullptr,
                              {{"token", piece.first_token},
                               {"tokens", piece.tokens},
                               {"version", piece.version}}));
}

void CompletionWriter::Finish(const Generation& generation,
                              const std::string& finish_reason) {
  boost::json::object event = MakeEvent(
      stream_ ? std::string_view() : generation.text(),
      boost::json::string(finish_reason), GenerationSummary(generation));
  event["usage"] =
      boost::json::object{{"completion_tokens", generation.tokens()}};
  if (!stream_) {
    exchange_.Respond(JsonResponse(200, event));
  } else if (!WriteEvent(event) && !exchange_.WriteChunk(kStreamTerminator)) {
    exchange_.FinishStream();
  }
}

void CompletionWriter::WriteRefusal(const Refusal& refusal) {
  if (!started_) {
    exchange_.Respond(RefusalResponse(refusal));
  } else if (!WriteEvent(RefusalJson(refusal))) {
    exchange_.FinishStream();
  }
}

}  // namespace limpethatch
