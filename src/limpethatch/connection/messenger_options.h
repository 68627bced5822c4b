#ifndef LIMPETHATCH_CONNECTION_MESSENGER_OPTIONS_H_
#define LIMPETHATCH_CONNECTION_MESSENGER_OPTIONS_H_

#include <chrono>
#include <cstddef>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"

namespace limpethatch {

struct MessengerOptions {
  AddressTranslation translation = {};
  // A larger message is not sent. If one is received, it is dropped and its
  // connection closed.
  size_t max_message_bytes = size_t{16} * 1024 * 1024;
  // The limit on messages queued for one peer. Further ones are dropped.
  int max_queued_per_peer = 256;
  // The limit on bytes queued for one peer, except that a single larger message
  // is accepted into an empty queue. It holds four of the largest messages that
  // control instances send, and bounds the memory that an unresponsive peer
  // costs on a small machine.
  size_t max_queued_bytes_per_peer = size_t{4} * 1024 * 1024;
  // A connection over which nothing was sent for this long is closed.
  Duration max_idle_time = std::chrono::seconds(60);
  // The time limit for establishing a connection, after which a new attempt is
  // made: the peer's machine may have been off at the first one. It covers many
  // round trips within a region.
  Duration connect_timeout = std::chrono::milliseconds(200);
  // TCP_USER_TIMEOUT of outbound connections: a connection with data that is
  // unacknowledged for this long is closed. The peer is partitioned, or a
  // middlebox has lost the connection's state.
  Duration tcp_user_timeout = std::chrono::milliseconds(1500);
  // Messages that waited longer than this for a connection are dropped: their
  // senders have stopped waiting for a reply by then.
  Duration max_queue_time = std::chrono::seconds(1);
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_MESSENGER_OPTIONS_H_
