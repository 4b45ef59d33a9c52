#ifndef REVIEW_STANDINS_3_HTTP_H_
#define REVIEW_STANDINS_3_HTTP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

/// A small HTTP/1.1 server and client for the stand-ins, on loopback.
namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using Millis = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
template <class T>
using Task = asio::awaitable<T>;

inline const asio::ip::address kLoopback = asio::ip::make_address("127.0.0.1");

/// @brief Waits for a time.
inline Task<void> Sleep(Millis time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

struct Request {
  std::string method;
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
};

struct Response {
  int status = 0;  ///< 0: no answer; the connection is closed.
  std::string body;
  std::string content_type = "application/json";
};

inline Response JsonResponse(int status, const json::object& body) {
  return {status, json::serialize(body)};
}

/// @brief Serves each connection in a coroutine of its own.
class Server {
 public:
  using Handler = std::function<Task<Response>(Request)>;

  /// @param port 0: any free port.
  Server(asio::io_context& context, Handler handler, unsigned short port = 0)
      : state_(std::make_shared<State>(context, std::move(handler))) {
    tcp::acceptor& acceptor = state_->acceptor;
    acceptor.open(tcp::v4());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind({kLoopback, port});
    acceptor.listen();
    asio::co_spawn(context, Accept(state_), asio::detached);
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server() { Close(); }

  unsigned short Port() const {
    return state_->acceptor.local_endpoint().port();
  }

  /// @brief Closes the listener and all connections, as a process that ends.
  void Close() {
    boost::system::error_code ec;
    state_->acceptor.close(ec);
    for (const auto& [id, socket] : state_->sockets) {
      socket->close(ec);
    }
  }

 private:
  struct State {
    State(asio::io_context& context, Handler function)
        : acceptor(context), handler(std::move(function)) {}
    tcp::acceptor acceptor;
    Handler handler;
    std::map<std::uint64_t, std::shared_ptr<tcp::socket>> sockets;
    std::uint64_t next_id = 1;
  };

  static Task<void> Accept(std::shared_ptr<State> state) {
    while (state->acceptor.is_open()) {
      auto [ec, socket] = co_await state->acceptor.async_accept(
          asio::as_tuple(asio::use_awaitable));
      if (ec) {
        continue;
      }
      asio::co_spawn(
          state->acceptor.get_executor(),
          Serve(state, std::make_shared<tcp::socket>(std::move(socket))),
          asio::detached);
    }
  }

  static Task<void> Serve(std::shared_ptr<State> state,
                          std::shared_ptr<tcp::socket> socket) {
    const std::uint64_t id = state->next_id++;
    state->sockets[id] = socket;
    boost::system::error_code ec;
    socket->set_option(tcp::no_delay(true), ec);
    beast::flat_buffer buffer;
    while (socket->is_open()) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(4 << 20);
      auto [error, n] = co_await http::async_read(
          *socket, buffer, parser, asio::as_tuple(asio::use_awaitable));
      if (error) {
        break;
      }
      auto message = parser.release();
      Request request{std::string(message.method_string()),
                      std::string(message.target()),
                      message.body(),
                      {}};
      for (const auto& it : message) {
        std::string name(it.name_string());
        for (char& c : name) {
          c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        request.headers[name] = std::string(it.value());
      }
      const Response response = co_await state->handler(std::move(request));
      if (response.status == 0 || !socket->is_open()) {
        break;
      }
      http::response<http::string_body> reply;
      reply.version(11);
      reply.result(static_cast<unsigned>(response.status));
      reply.set(http::field::content_type, response.content_type);
      reply.keep_alive(message.keep_alive());
      reply.body() = response.body;
      reply.prepare_payload();
      auto [failed, written] = co_await http::async_write(
          *socket, reply, asio::as_tuple(asio::use_awaitable));
      if (failed || !message.keep_alive()) {
        break;
      }
    }
    socket->close(ec);
    state->sockets.erase(id);
  }

  std::shared_ptr<State> state_;
};

/// @brief Sends one request on a connection of its own.
/// @return Status 0 if there is no answer within the time.
inline Task<Response> Call(unsigned short port,
                           Request request,
                           Millis timeout) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  auto [ec] = co_await stream.async_connect(
      tcp::endpoint(kLoopback, port), asio::as_tuple(asio::use_awaitable));
  if (ec) {
    co_return Response{};
  }
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, "127.0.0.1:" + std::to_string(port));
  message.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : request.headers) {
    message.set(name, value);
  }
  message.keep_alive(false);
  message.body() = request.body;
  message.prepare_payload();
  auto [failed, written] = co_await http::async_write(
      stream, message, asio::as_tuple(asio::use_awaitable));
  if (failed) {
    co_return Response{};
  }
  beast::flat_buffer buffer;
  http::response<http::string_body> reply;
  auto [lost, n] = co_await http::async_read(
      stream, buffer, reply, asio::as_tuple(asio::use_awaitable));
  if (lost) {
    co_return Response{};
  }
  co_return Response{static_cast<int>(reply.result_int()), reply.body(), ""};
}

}  // namespace review

#endif  // REVIEW_STANDINS_3_HTTP_H_
