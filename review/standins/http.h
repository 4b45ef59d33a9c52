#ifndef REVIEW_STANDINS_HTTP_H_
#define REVIEW_STANDINS_HTTP_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "record.h"

/// A small HTTP/1.1 server and client over loopback.
namespace review {

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
};

struct Response {
  int status = 200;
  std::string body = "{}";
  std::string content_type = "application/json";
};

enum class LinkMode {
  kOpen,
  kRefused,  ///< New connections are refused, and open ones are reset.
  kGone,     ///< New connections are refused, and open ones are closed, as when
             ///< the process has ended.
  kSilent,   ///< Nothing passes in either direction.
};

class HttpServer {
 public:
  /// @brief Answers a request. Without a value the caller gets no answer: the
  /// connection stays open and silent until the caller closes it.
  using Handler = std::function<std::optional<Response>(const Request&)>;

  explicit HttpServer(Handler handler);

  std::string Address() const;
  void SetMode(LinkMode mode) { state_->mode = mode; }

 private:
  struct State {
    Handler handler;
    std::atomic<LinkMode> mode{LinkMode::kOpen};
    std::atomic<bool> is_listening{true};
    int port = 0;
  };

  static void Accept(const std::shared_ptr<State>& state, int listener);
  static void Serve(const std::shared_ptr<State>& state, int socket);

  std::shared_ptr<State> state_;
};

/// @brief A connection that is kept between calls.
class HttpClient {
 public:
  explicit HttpClient(std::string address) : address_(std::move(address)) {}
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient() { Close(); }

  /// @brief Sends a request; no value if no whole answer came in time.
  std::optional<Response> Call(const Request& request, Millis timeout);

 private:
  bool Connect();
  void Close();

  std::string address_;
  int socket_ = -1;
};

/// @brief A port of the loopback address that is free at the moment.
int FreePort();

}  // namespace review

#endif  // REVIEW_STANDINS_HTTP_H_
