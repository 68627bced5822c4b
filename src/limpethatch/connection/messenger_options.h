#ifndef LIMPETHATCH_CONNECTION_MESSENGER_OPTIONS_H_
#define LIMPETHATCH_CONNECTION_MESSENGER_OPTIONS_H_

#include <chrono>
#include <cstddef>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"

namespace limpethatch {

struct MessengerOptions {
  AddressTranslation translation = {};
  // A larger message is refused when sent and dropped when received.
  size_t max_message_bytes = size_t{16} * 1024 * 1024;
  // Messages that wait for one peer; further ones are dropped.
  int max_queued_per_peer = 256;
  // The same by size, but for one message that is larger alone: four of the
  // largest that control instances send, so that a peer which takes nothing
  // costs little of the memory of a small machine.
  size_t max_queued_bytes_per_peer = size_t{4} * 1024 * 1024;
  // A connection that has carried nothing for this long is closed.
  Duration max_idle_time = std::chrono::seconds(60);
  // A peer that does not take a connection for so long is tried anew: its
  // machine may have had no power when it was asked. Many round trips within a
  // region.
  Duration connect_timeout = std::chrono::milliseconds(200);
  // Bytes that the peer's machine has not confirmed for so long end their
  // connection: it is partitioned, or something between lost track of it.
  Duration tcp_user_timeout = std::chrono::milliseconds(1500);
  // Messages that waited longer for a connection are dropped: who sent them
  // has given up on an answer by then.
  Duration max_queue_time = std::chrono::seconds(1);
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_MESSENGER_OPTIONS_H_
