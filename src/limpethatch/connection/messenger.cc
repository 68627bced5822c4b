#include "limpethatch/connection/messenger.h"

#include <boost/asio/executor_work_guard.hpp>
#include <thread>
#include <utility>

#include "limpethatch/connection/internal/inbound_messages.h"
#include "limpethatch/connection/internal/outbound_messages.h"

namespace limpethatch {
namespace asio = boost::asio;

// An io_context and the thread that runs it.
struct Messenger::IoThread {
  IoThread() : work(asio::make_work_guard(io)) {}

  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::thread thread;
};

Messenger::Messenger(boost::asio::io_context& io,
                     MessengerOptions options,
                     Receiver receiver)
    : outbound_(std::make_shared<OutboundMessages>(io, options)),
      inbound_(std::make_shared<InboundMessages>(io,
                                                 std::move(options),
                                                 std::move(receiver))) {}

Messenger::Messenger(MessengerOptions options, Receiver receiver)
    : io_thread_(std::make_unique<IoThread>()),
      outbound_(std::make_shared<OutboundMessages>(io_thread_->io, options)),
      inbound_(std::make_shared<InboundMessages>(io_thread_->io,
                                                 std::move(options),
                                                 std::move(receiver))) {
  io_thread_->thread = std::thread([io = &io_thread_->io] { io->run(); });
}

Messenger::~Messenger() {
  StopReceiving();
  outbound_->CloseAll();
  if (io_thread_) {
    // Runs the remaining handlers, which find all sockets closed and release
    // their references.
    io_thread_->work.reset();
    io_thread_->io.restart();
    io_thread_->io.poll();
  }
}

void Messenger::StopReceiving() {
  if (std::exchange(stopped_receiving_, true)) {
    return;
  }
  inbound_->StopDelivery();
  if (io_thread_) {
    io_thread_->io.stop();
    io_thread_->thread.join();
  }
  inbound_->Close();
}

std::error_code Messenger::Listen(const Endpoint& endpoint) {
  return inbound_->Listen(endpoint);
}

void Messenger::Send(const Endpoint& peer, std::string_view message) {
  outbound_->Send(peer, message);
}

void Messenger::Reset(const Endpoint& peer, TimePoint stalled_since) {
  outbound_->Reset(peer, stalled_since);
}

uint64_t Messenger::bytes_sent() const {
  return outbound_->bytes_sent();
}

uint64_t Messenger::bytes_received() const {
  return inbound_->bytes_received();
}

size_t Messenger::open_peers() const {
  return outbound_->open_peers();
}

}  // namespace limpethatch
