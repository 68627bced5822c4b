// A server that answers with a prefix and then repeats a pattern until the
// client closes the connection.
#ifndef TESTS_CONNECTION_ENDLESS_SERVER_H_
#define TESTS_CONNECTION_ENDLESS_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <utility>

#include "limpethatch/process/endpoint.h"

namespace limpethatch {

class EndlessServer {
 public:
  EndlessServer(std::string prefix, std::string pattern)
      : prefix_(std::move(prefix)), pattern_(std::move(pattern)) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~EndlessServer() {
    // Wakes up the thread if it waits for a connection.
    stopping_ = true;
    {
      boost::asio::io_context io;
      boost::asio::ip::tcp::socket socket(io);
      boost::system::error_code ignored;
      socket.connect(acceptor_.local_endpoint(), ignored);
    }
    thread_.join();
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  size_t bytes_sent() const { return bytes_sent_; }

 private:
  void Serve() {
    while (!stopping_) {
      boost::system::error_code error;
      boost::asio::ip::tcp::socket socket(io_);
      acceptor_.accept(socket, error);
      std::string request(4096, '\0');
      socket.read_some(boost::asio::buffer(request), error);
      std::string block;
      while (block.size() < kBlockBytes) {
        block += pattern_;
      }
      boost::asio::write(socket, boost::asio::buffer(prefix_), error);
      while (!error && !stopping_) {
        bytes_sent_ +=
            boost::asio::write(socket, boost::asio::buffer(block), error);
      }
    }
  }

  static constexpr size_t kBlockBytes = 64UL * 1024;

  const std::string prefix_;
  const std::string pattern_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_{
      io_,
      {boost::asio::ip::address_v4::loopback(), 0}};
  std::atomic<size_t> bytes_sent_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace limpethatch

#endif  // TESTS_CONNECTION_ENDLESS_SERVER_H_
