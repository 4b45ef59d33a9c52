#ifndef SHALLOTLUG_NET_SRC_HTTP_SERVER_IMPL_H_
#define SHALLOTLUG_NET_SRC_HTTP_SERVER_IMPL_H_

#include <array>
#include <chrono>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "shallotlug/net/http_server.h"

/// The server's listener, and its connections (http_session.cc).
namespace shallotlug::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  class Session;

  Impl(asio::io_context& io, tcp::acceptor socket, HttpServerOptions settings)
      : context(io),
        acceptor(std::move(socket)),
        accept_timer(io),
        options(std::move(settings)) {
    if (!options.memory) {
      options.memory = std::make_shared<RequestMemory>();
    }
  }

  void Accept();
  void OnAcceptFailed();
  void Close();
  void Rejected(const std::string& reason) const;
  /// @brief Number of connections within the limit that are not closed.
  std::size_t Open() const;
  /// @brief Closes the connection that others need least: the one that is idle
  /// for longest, else the request that was begun first and is not complete,
  /// else the response that was not taken for longest.
  bool CloseOne();

  enum class State { kIdle, kReading, kHandling, kWriting, kClosed };
  static constexpr std::size_t kStates = 5;
  using SessionList = std::list<Session*>;

  asio::io_context& context;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  HttpServerOptions options;
  HttpServerHandlers handlers;
  std::uint64_t next_exchange = 1;
  bool draining = false;
  std::size_t rejected = 0;  ///< Connections beyond the limit.
  /// Connections within the limit, in the order in which they came into their
  /// state.
  std::array<SessionList, kStates> by_state;
  std::unordered_map<Session*, std::weak_ptr<Session>> sessions;
  std::unordered_map<std::uint64_t, std::shared_ptr<Session>> waiting;
};

/// @brief One connection. It holds itself alive through its pending operations.
class HttpServer::Impl::Session : public std::enable_shared_from_this<Session> {
 public:
  /// @param reject It is beyond the limit and takes only an error.
  Session(std::shared_ptr<Impl> server, tcp::socket socket, bool reject);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start();
  void Reply(std::uint64_t exchange, HttpResponse response);
  void CloseIfIdle();
  void Close();

  /// @brief How long the connection has been in its state.
  Millis SinceChange() const;

 private:
  void Enter(State state);
  void WaitForRequest();

  /// @brief Notices a caller that has gone, as long as it pipelines little.
  void ReadAhead();
  void Fill();
  void OnFilled(error_code ec, std::size_t n);

  void ReadRequest();
  void OnHeader(error_code ec);
  void ReadBody();
  void OnRequest(error_code ec);
  void OnReadTimeout();

  /// @brief Another connection needs the memory; the pending read ends with an
  /// error.
  void GiveWay();
  /// @brief Whether the memory has room for what was read of the request; it is
  /// refused otherwise.
  bool HoldWhatWasRead();
  void RefuseForMemory();

  void WriteError(const std::string& reason, HttpResponse response);
  void Write(HttpResponse response, bool keep_alive);
  void OnWritten(error_code ec, bool keep_alive);
  /// @brief Reads and drops the rest of a request after an error.
  void Drop();

  void SetTimer(Millis delay, void (Session::*on_expiry)());

  std::shared_ptr<Impl> server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  bool reject_;
  State state_ = State::kIdle;
  SessionList::iterator place_;
  std::chrono::steady_clock::time_point changed_at_ =
      std::chrono::steady_clock::now();
  RequestMemory::Share share_;
  bool gave_way_ = false;  ///< To another connection, for its memory.
  bool filling_ = false;
  bool timed_out_ = false;
  bool keep_alive_ = false;
  bool linger_ = false;
  std::uint64_t exchange_ = 0;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::response<http::string_body>> response_;
};

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_SRC_HTTP_SERVER_IMPL_H_
