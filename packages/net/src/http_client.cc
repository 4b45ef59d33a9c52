#include "shallotlug/net/http_client.h"

#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "address.h"

namespace shallotlug::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Bound of the read buffer, which holds a header, the trailers or a chunk's
// extensions as a whole until they are complete.
constexpr std::size_t kMaxBufferedBytes = 65'536;

class FetchCategoryImpl : public std::error_category {
 public:
  const char* name() const noexcept override { return "shallotlug.fetch"; }
  std::string message(int code) const override {
    switch (static_cast<FetchError>(code)) {
      case FetchError::kNeverSent:
        return "the request was never sent";
      case FetchError::kOutcomeUnknown:
        return "the request was sent and its outcome is unknown";
    }
    return "unknown fetch error";
  }
};

}  // namespace

const std::error_category& FetchCategory() {
  static const FetchCategoryImpl category;
  return category;
}

std::error_code make_error_code(FetchError error) {  // NOLINT(*-naming)
  return {static_cast<int>(error), FetchCategory()};
}

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
  explicit Impl(asio::io_context& io) : context(io), socket(io), timer(io) {}

  void Start(const HttpFetchOptions& options, ConnectionUse use);
  void Connect();
  void Write();
  void Read();
  void OnExpired();
  bool ConnectionIsUsable();
  FetchError Failure() const;
  void Finish(FetchResult result);
  void Close();

  asio::io_context& context;
  tcp::socket socket;
  asio::steady_timer timer;
  std::string connected_to;
  tcp::endpoint endpoint;
  std::string address;
  std::size_t response_bytes = 0;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  FetchHandler handler;
  std::uint64_t sequence = 0;
  bool reused = false;
  bool repeats = false;  ///< A request without an answer is sent again.
  /// Bytes of the request were written, maybe to a former connection.
  bool sent = false;
  bool timed_out = false;
  bool closed = false;
};

void HttpClient::Impl::Start(const HttpFetchOptions& options,
                             ConnectionUse use) {
  ++sequence;
  timed_out = false;
  sent = false;
  address = options.address;
  response_bytes = options.response_bytes;
  request = {};
  request.version(11);
  request.method_string(options.method);
  request.target(options.target);
  request.set(http::field::host, options.address);
  if (!options.bearer_token.empty()) {
    request.set(http::field::authorization, "Bearer " + options.bearer_token);
  }
  if (!options.body.empty()) {
    request.set(http::field::content_type, options.content_type);
  }
  for (const HttpHeader& it : options.headers) {
    request.set(it.name, it.value);
  }
  request.body() = options.body;
  request.keep_alive(use != ConnectionUse::kFresh);
  request.prepare_payload();
  timer.expires_after(options.timeout);
  timer.async_wait(
      [self = shared_from_this(), expected = sequence](error_code ec) {
        if (!ec && self->sequence == expected && self->handler) {
          self->OnExpired();
        }
      });
  const auto parsed = ParseEndpoint(options.address);
  if (!parsed) {
    Finish(FetchError::kNeverSent);
    return;
  }
  endpoint = parsed.value();
  repeats = use == ConnectionUse::kReuseAndRepeat;
  reused = use != ConnectionUse::kFresh && socket.is_open() &&
           connected_to == address && ConnectionIsUsable();
  if (reused) {
    Write();
  } else {
    Connect();
  }
}

// A connection that the server has closed while it was idle carries nothing any
// more; a request written to it would have an unknown outcome.
bool HttpClient::Impl::ConnectionIsUsable() {
  error_code ec;
  char byte = 0;
  socket.non_blocking(true, ec);
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec == asio::error::would_block;
}

FetchError HttpClient::Impl::Failure() const {
  return sent ? FetchError::kOutcomeUnknown : FetchError::kNeverSent;
}

void HttpClient::Impl::Connect() {
  Close();
  reused = false;
  socket = tcp::socket(context);
  socket.async_connect(endpoint, [self = shared_from_this()](error_code ec) {
    if (ec || self->timed_out) {
      self->Close();
      self->Finish(self->Failure());
      return;
    }
    self->connected_to = self->address;
    error_code ignored;
    self->socket.set_option(tcp::no_delay(true), ignored);
    self->Write();
  });
}

void HttpClient::Impl::Write() {
  http::async_write(socket, request,
                    [self = shared_from_this()](error_code ec, std::size_t n) {
                      self->sent = self->sent || n > 0;
                      if (!ec) {
                        self->Read();
                        return;
                      }
                      if (n == 0 && self->reused && !self->timed_out) {
                        self->Connect();
                        return;
                      }
                      self->Close();
                      self->Finish(self->Failure());
                    });
}

void HttpClient::Impl::Read() {
  buffer.clear();
  parser.emplace();
  parser->body_limit(response_bytes);
  http::async_read(
      socket, buffer, *parser,
      [self = shared_from_this()](error_code ec, std::size_t n) {
        if (ec) {
          // The server closed the idle connection while the request was on
          // its way; the caller allowed to repeat it.
          if (n == 0 && self->reused && self->repeats && !self->timed_out) {
            self->Connect();
            return;
          }
          self->Close();
          self->Finish(FetchError::kOutcomeUnknown);
          return;
        }
        auto message = self->parser->release();
        HttpResponse response;
        response.status = static_cast<int>(message.result_int());
        response.content_type = std::string(message[http::field::content_type]);
        for (const auto& it : message) {
          response.headers.push_back(
              {std::string(it.name_string()), std::string(it.value())});
        }
        response.body = std::move(message.body());
        if (!message.keep_alive()) {
          self->Close();
        }
        self->Finish(std::move(response));
      });
}

void HttpClient::Impl::OnExpired() {
  // The pending operation ends with an error and reports.
  timed_out = true;
  Close();
}

void HttpClient::Impl::Finish(FetchResult result) {
  timer.cancel();
  asio::post(context,
             [self = shared_from_this(), result = std::move(result)]() mutable {
               const FetchHandler call = std::exchange(self->handler, nullptr);
               if (call && !self->closed) {
                 call(std::move(result));
               }
             });
}

void HttpClient::Impl::Close() {
  error_code ec;
  socket.close(ec);
  connected_to.clear();
}

HttpClient::HttpClient(asio::io_context& context)
    : impl_(std::make_shared<Impl>(context)) {}
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;

HttpClient::~HttpClient() {
  if (impl_) {
    impl_->closed = true;
    impl_->handler = nullptr;
    impl_->timer.cancel();
    impl_->Close();
  }
}

void HttpClient::Send(const HttpFetchOptions& options,
                      ConnectionUse use,
                      FetchHandler handler) {
  impl_->handler = std::move(handler);
  impl_->Start(options, use);
}

bool HttpClient::Busy() const {
  return impl_->handler != nullptr;
}

FetchResult Fetch(const HttpFetchOptions& options) {
  asio::io_context context;
  HttpClient client(context);
  FetchResult result = FetchError::kNeverSent;
  client.Send(options, ConnectionUse::kFresh,
              [&result](FetchResult it) { result = std::move(it); });
  context.run();
  return result;
}

}  // namespace shallotlug::net
