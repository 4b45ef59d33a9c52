#include "http.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kPollMs = 5;
constexpr std::size_t kReadBytes = 65'536;
constexpr int kLowestPort = 12'000;
constexpr int kPortsOfRange = 200;
constexpr int kPortRanges = 90;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

/// @return The listening socket, or -1.
int Listen(int port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(port);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
      ::listen(listener, 256) != 0) {
    ::close(listener);
    return -1;
  }
  return listener;
}

int PortOf(int listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// @brief Closes the connection with a reset.
void Reset(int socket) {
  const linger now{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::close(socket);
}

bool IsRefusing(LinkMode mode) {
  return mode == LinkMode::kRefused || mode == LinkMode::kGone;
}

bool IsReadable(int socket, int timeout_ms) {
  pollfd it{socket, POLLIN, 0};
  return ::poll(&it, 1, timeout_ms) > 0;
}

bool HasPeerClosed(int socket) {
  pollfd it{socket, POLLRDHUP, 0};
  return ::poll(&it, 1, 0) > 0;
}

bool WriteAll(int socket, const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto n =
        ::send(socket, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    at += static_cast<std::size_t>(n);
  }
  return true;
}

/// @brief A message: its first line, its headers and its body.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// @brief Takes a whole message from the front of the buffer, if there is one.
std::optional<Message> TakeMessage(std::string& buffer) {
  const auto end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  Message message;
  std::size_t at = 0;
  while (at < end + 2) {
    const auto line_end = buffer.find("\r\n", at);
    const std::string line = buffer.substr(at, line_end - at);
    at = line_end + 2;
    if (message.first_line.empty()) {
      message.first_line = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] =
        value == std::string::npos ? "" : line.substr(value);
  }
  std::size_t length = 0;
  if (const auto it = message.headers.find("content-length");
      it != message.headers.end()) {
    length = std::strtoull(it->second.c_str(), nullptr, 10);
  }
  if (buffer.size() < end + 4 + length) {
    return std::nullopt;
  }
  message.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return message;
}

bool ReadSome(int socket, std::string& buffer) {
  char bytes[kReadBytes];
  const auto n = ::recv(socket, bytes, sizeof bytes, 0);
  if (n <= 0) {
    return false;
  }
  buffer.append(bytes, static_cast<std::size_t>(n));
  return true;
}

Request ToRequest(Message message) {
  Request request;
  const auto first = message.first_line.find(' ');
  const auto second = message.first_line.find(' ', first + 1);
  request.method = message.first_line.substr(0, first);
  request.target = message.first_line.substr(first + 1, second - first - 1);
  request.headers = std::move(message.headers);
  request.body = std::move(message.body);
  return request;
}

std::string ToText(const Response& response) {
  return "HTTP/1.1 " + std::to_string(response.status) +
         " Status\r\nContent-Type: " + response.content_type +
         "\r\nContent-Length: " + std::to_string(response.body.size()) +
         "\r\n\r\n" + response.body;
}

}  // namespace

HttpServer::HttpServer(Handler handler) : state_(std::make_shared<State>()) {
  state_->handler = std::move(handler);
  const int listener = Listen(0);
  state_->port = PortOf(listener);
  std::thread([state = state_, listener] { Accept(state, listener); }).detach();
}

std::string HttpServer::Address() const {
  return "127.0.0.1:" + std::to_string(state_->port);
}

void HttpServer::Accept(const std::shared_ptr<State>& state, int listener) {
  while (true) {
    if (IsRefusing(state->mode) && listener >= 0) {
      ::close(listener);
      listener = -1;
      state->is_listening = false;
    }
    if (listener < 0) {
      std::this_thread::sleep_for(Millis(kPollMs));
      if (!IsRefusing(state->mode)) {
        listener = Listen(state->port);
        state->is_listening = listener >= 0;
      }
      continue;
    }
    if (!IsReadable(listener, kPollMs)) {
      continue;
    }
    const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket >= 0) {
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([state, socket] { Serve(state, socket); }).detach();
    }
  }
}

void HttpServer::Serve(const std::shared_ptr<State>& state, int socket) {
  std::string buffer;
  // What was on its way while the link was silent is lost if its sender has
  // given up meanwhile.
  const auto wait_while_silent = [&] {
    while (state->mode == LinkMode::kSilent) {
      std::this_thread::sleep_for(Millis(kPollMs));
    }
    return state->mode == LinkMode::kOpen && !HasPeerClosed(socket);
  };
  // The listener goes with the connections, as when a process ends.
  const auto reset = [&] {
    while (IsRefusing(state->mode) && state->is_listening) {
      std::this_thread::sleep_for(Millis(1));
    }
    if (state->mode == LinkMode::kGone) {
      ::close(socket);
    } else {
      Reset(socket);
    }
  };
  while (true) {
    if (IsRefusing(state->mode) ||
        (state->mode == LinkMode::kSilent && !wait_while_silent())) {
      reset();
      return;
    }
    if (!IsReadable(socket, kPollMs)) {
      continue;
    }
    if (!ReadSome(socket, buffer)) {
      ::close(socket);
      return;
    }
    while (auto message = TakeMessage(buffer)) {
      const auto response = state->handler(ToRequest(std::move(*message)));
      if (IsRefusing(state->mode) ||
          (state->mode == LinkMode::kSilent && !wait_while_silent())) {
        reset();
        return;
      }
      if (!response) {
        while (!HasPeerClosed(socket)) {
          std::this_thread::sleep_for(Millis(kPollMs));
        }
        ::close(socket);
        return;
      }
      if (!WriteAll(socket, ToText(*response))) {
        ::close(socket);
        return;
      }
    }
  }
}

bool HttpClient::Connect() {
  const auto colon = address_.find(':');
  const sockaddr_in address = Loopback(std::atoi(address_.c_str() + colon + 1));
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(socket_, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    Close();
    return false;
  }
  const int on = 1;
  ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return true;
}

void HttpClient::Close() {
  if (socket_ >= 0) {
    ::close(socket_);
    socket_ = -1;
  }
}

std::optional<Response> HttpClient::Call(const Request& request,
                                         Millis timeout) {
  const auto until = Clock::now() + timeout;
  if (socket_ >= 0 && HasPeerClosed(socket_)) {
    Close();
  }
  if (socket_ < 0 && !Connect()) {
    return std::nullopt;
  }
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "content-length: " + std::to_string(request.body.size()) +
          "\r\n\r\n" + request.body;
  if (!WriteAll(socket_, text)) {
    Close();
    return std::nullopt;
  }
  std::string buffer;
  while (true) {
    const auto left =
        std::chrono::duration_cast<Millis>(until - Clock::now()).count();
    if (left <= 0 || !IsReadable(socket_, static_cast<int>(left)) ||
        !ReadSome(socket_, buffer)) {
      Close();
      return std::nullopt;
    }
    if (auto message = TakeMessage(buffer)) {
      Response response;
      response.status = std::atoi(message->first_line.c_str() +
                                  message->first_line.find(' '));
      response.body = std::move(message->body);
      const auto connection = message->headers.find("connection");
      if (connection != message->headers.end() &&
          connection->second == "close") {
        Close();
      }
      return response;
    }
  }
}

int FreePort() {
  // Below the ports that the system gives to outgoing connections, so that none
  // of these takes it before the process listens. Cases that run side by side
  // search in other ranges, and no port is given out twice.
  static int next = kLowestPort + ::getpid() % kPortRanges * kPortsOfRange;
  while (true) {
    const int port = next++;
    const int listener = Listen(port);
    if (listener >= 0) {
      ::close(listener);
      return port;
    }
  }
}

}  // namespace review
