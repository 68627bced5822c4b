// A TCP forwarder that can delay, silence or cut connections on command.
#ifndef PROGRAMS_STANDIN_LINK_H_
#define PROGRAMS_STANDIN_LINK_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "limpethatch/connection/yield.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"

namespace limpethatch::standin {

enum class LinkMode {
  kPass,
  kCut,     // Connections are closed and new ones refused.
  kSilent,  // Bytes are dropped; connections stay open.
};

// "LISTEN=TARGET@NAME".
struct ForwardSpec {
  Endpoint listen;
  Endpoint target;
  std::string name;
};

bool ParseForward(std::string_view text, ForwardSpec* spec);

// Forwards one port. Not thread-safe.
class Forwarder : public std::enable_shared_from_this<Forwarder> {
 public:
  Forwarder(boost::asio::io_context& io, ForwardSpec spec);

  const std::string& name() const { return spec_.name; }
  std::error_code Start();
  void SetMode(LinkMode mode);
  // Applies to every chunk of bytes, in each direction.
  void SetDelay(Duration delay) { delay_ = delay; }
  // Permanently silences a random share of the open connections; returns how
  // many.
  size_t SilenceExisting(double share, std::mt19937_64& random);
  size_t open_connections();

 private:
  struct ConnectionPair;

  std::error_code OpenAcceptor();
  void AcceptLoop(Yield yield);
  void Connect(Yield yield, const std::shared_ptr<ConnectionPair>& pair);
  void CopyBytes(Yield yield,
                 const std::shared_ptr<ConnectionPair>& pair,
                 boost::asio::ip::tcp::socket& from,
                 boost::asio::ip::tcp::socket& to);
  void RemoveClosed();

  boost::asio::io_context& io_;
  const ForwardSpec spec_;
  boost::asio::ip::tcp::acceptor acceptor_;
  LinkMode mode_ = LinkMode::kPass;
  Duration delay_{};
  std::vector<std::weak_ptr<ConnectionPair>> connections_;
};

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_LINK_H_
