// Measures the time to open and answer a claim, and the heap memory per claim
// in three states: held (open), settled with an answer of 300 bytes, and buried
// (only a tombstone is left).
#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <string>

#include "limpethatch/process/clock.h"
#include "limpethatch/request/claim_ledger.h"

namespace limpethatch {
namespace {

constexpr uint32_t kClaims = 60'000;

wire::ClaimOpen OpenCommand(uint32_t index) {
  wire::ClaimOpen open;
  open.set_service("order-desk");
  open.set_key(fmt::format("order-2026-{:016}", index));
  open.set_request_digest(std::string(16, 'd'));
  open.set_holder(fmt::format("waycross-shop-{}#1", index % 21));
  return open;
}

size_t AllocatedBytes() {
  return mallinfo2().uordblks;
}

void PrintCost(const char* state, size_t before, Duration elapsed) {
  const std::chrono::duration<double, std::nano> nanoseconds = elapsed;
  const auto bytes =
      static_cast<double>(AllocatedBytes()) - static_cast<double>(before);
  fmt::print("{:<8} {:.0f} bytes a claim, {:.0f} ns\n", state, bytes / kClaims,
             nanoseconds.count() / kClaims);
}

void OpenAll(ClaimLedger& ledger) {
  for (uint32_t index = 0; index < kClaims; ++index) {
    ledger.Apply(OpenCommand(index));
  }
}

void AnswerAll(ClaimLedger& ledger) {
  for (uint32_t index = 0; index < kClaims; ++index) {
    const auto open = OpenCommand(index);
    wire::ClaimAnswer answer;
    answer.set_service(open.service());
    answer.set_key(open.key());
    answer.set_attempt(index + 1);
    answer.set_body(std::string(300, 'b'));
    ledger.Apply(answer);
  }
}

void Measure() {
  const auto empty = AllocatedBytes();
  ClaimLedger ledger;
  auto start = Clock::now();
  OpenAll(ledger);
  PrintCost("held", empty, Clock::now() - start);
  start = Clock::now();
  AnswerAll(ledger);
  PrintCost("settled", empty, Clock::now() - start);
  const auto before = AllocatedBytes();
  ClaimLedger tombstoning_ledger({.settled = 1});
  start = Clock::now();
  OpenAll(tombstoning_ledger);
  AnswerAll(tombstoning_ledger);
  PrintCost("buried", before, Clock::now() - start);
}

}  // namespace
}  // namespace limpethatch

int main() {
  limpethatch::Measure();
}
