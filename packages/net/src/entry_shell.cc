#include "shallotlug/net/entry_shell.h"

#include <array>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "handshake.h"
#include "log_client.h"
#include "role_listeners.h"
#include "shallotlug/api/http.h"
#include "shallotlug/base/logging.h"
#include "shallotlug/entry/entry.h"
#include "shallotlug/net/http_server.h"

namespace shallotlug::net {
namespace {

struct Listener {
  const char* name = "";
  api::Surface surface = api::Surface::kCallers;
  std::optional<HttpServer> server;
  /// Calls that wait for their reply.
  std::map<ExchangeId, entry::CallId> calls;
};

struct OpenCall {
  Listener* listener = nullptr;
  ExchangeId exchange{};
};

HttpResponse ToResponse(const api::Reply& reply) {
  api::HttpReply rendered = api::RenderReply(reply);
  HttpResponse response;
  response.status = rendered.status;
  response.content_type = std::move(rendered.content_type);
  response.body = std::move(rendered.body);
  if (!rendered.request_id.empty()) {
    response.headers.push_back({"Shallotlug-Request-Id", rendered.request_id});
  }
  return response;
}

api::ErrorReply Unauthorized() {
  api::ErrorReply error;
  error.code = api::ErrorCode::kUnauthorized;
  error.reason = "bad_token";
  error.message =
      "the operators' listener needs the header \"Authorization: Bearer "
      "TOKEN\" with the operator_token of the entry's settings";
  return error;
}

entry::Options OptionsOf(const settings::EntrySettings& settings) {
  entry::Options options;
  options.self = {EntryName(settings.name), DrawIncarnation()};
  options.data_centre = DataCentreName(settings.data_centre);
  options.peer_address = settings.peers_listen;
  options.operator_address = settings.operators_listen;
  options.log_retention = settings.log_retention;
  options.random_seed = DrawNumber();
  return options;
}

class EntryShell {
 public:
  explicit EntryShell(const settings::EntrySettings& settings)
      : settings_(settings),
        loop_(context_),
        state_(entry::MakeState(OptionsOf(settings), ReadClock())),
        log_(context_, LogOptions(settings), LogHandlers()) {
    callers_.name = "callers";
    operators_.name = "operators";
    operators_.surface = api::Surface::kOperators;
  }

  int Run() {
    links_ = OpenPeerLinks(context_, loop_, settings_.peers_listen,
                           settings_.shared_key, Counters(), inbox_);
    if (!links_ || !OpenMetrics() ||
        !OpenListener(callers_, settings_.callers_listen) ||
        !OpenListener(operators_, settings_.operators_listen)) {
      return 1;
    }
    WriteLog({LogLevel::kInfo,
              "entry_started",
              {{"entry", settings_.name},
               {"callers", settings_.callers_listen},
               {"peers", settings_.peers_listen}}});
    loop_.Run([this] { Step(); });
    WriteLog({LogLevel::kInfo, "entry_stopped", {{"entry", settings_.name}}});
    return 0;
  }

 private:
  static LogClientOptions LogOptions(const settings::EntrySettings& settings) {
    LogClientOptions options;
    options.address = settings.log_service;
    return options;
  }

  LogClientHandlers LogHandlers() {
    return {[this](stream::LogReadResult result) {
              inbox_.log_reads.push_back(std::move(result));
              loop_.Wake();
            },
            [this](stream::LogAppendResult result) {
              inbox_.log_appends.push_back(result);
              loop_.Wake();
            }};
  }

  bool OpenMetrics() {
    const auto opened = metrics_.Listen(
        context_, settings_.metrics_listen,
        {[this] { return Counters().ToPrometheusText(); },
         [this] {
           return !loop_.ShutdownRequested() && entry::Ready(*state_);
         }});
    if (!opened) {
      LogListenFailure("metrics", settings_.metrics_listen, opened.error());
    }
    return opened.has_value();
  }

  bool OpenListener(Listener& listener, const std::string& address) {
    HttpServerOptions options;
    options.address = address;
    options.body_bytes = settings_.http.body_bytes;
    options.connections = settings_.http.connections;
    options.read_timeout = settings_.http.read_timeout;
    options.idle_timeout = settings_.http.idle_timeout;
    HttpServerHandlers handlers;
    handlers.on_request = [this, &listener](ExchangeId id,
                                            const HttpRequest& request) {
      OnRequest(listener, id, request);
    };
    handlers.on_gone = [this, &listener](ExchangeId id) {
      OnGone(listener, id);
    };
    handlers.on_rejected = [this, &listener](const std::string& reason) {
      Counters().AddTo("shallotlug_http_rejected_total",
                       {{"listener", listener.name}, {"reason", reason}});
    };
    auto server = HttpServer::Listen(context_, options, std::move(handlers));
    if (!server) {
      LogListenFailure(listener.name, address, server.error());
      return false;
    }
    listener.server.emplace(std::move(server.value()));
    return true;
  }

  void OnRequest(Listener& listener,
                 ExchangeId exchange,
                 const HttpRequest& request) {
    if (listener.surface == api::Surface::kOperators &&
        !SameBytes(request.authorization,
                   "Bearer " + settings_.operator_token)) {
      Answer(listener, exchange, Unauthorized());
      return;
    }
    api::ParsedCall parsed = api::ParseCall(
        {listener.surface, request.method, request.target, request.body});
    if (const auto* error = std::get_if<api::ErrorReply>(&parsed)) {
      Answer(listener, exchange, *error);
      return;
    }
    const entry::CallId id{next_call_++};
    listener.calls[exchange] = id;
    open_calls_[id] = {&listener, exchange};
    inbox_.calls.push_back({id, std::get<api::Call>(std::move(parsed))});
    loop_.Wake();
  }

  void OnGone(Listener& listener, ExchangeId exchange) {
    const auto it = listener.calls.find(exchange);
    if (it == listener.calls.end()) {
      return;
    }
    inbox_.callers_gone.push_back(it->second);
    open_calls_.erase(it->second);
    listener.calls.erase(it);
    loop_.Wake();
  }

  void Answer(Listener& listener,
              ExchangeId exchange,
              const api::Reply& reply) {
    HttpResponse response = ToResponse(reply);
    Counters().AddTo("shallotlug_http_responses_total",
                     {{"listener", listener.name},
                      {"status", std::to_string(response.status)}});
    listener.server->Reply(exchange, std::move(response));
  }

  void Reply(const entry::OutgoingReply& reply) {
    const auto it = open_calls_.find(reply.id);
    if (it == open_calls_.end()) {
      return;
    }
    const OpenCall call = it->second;
    open_calls_.erase(it);
    call.listener->calls.erase(call.exchange);
    Answer(*call.listener, call.exchange, reply.reply);
  }

  void Step() {
    entry::Inbox inbox = std::exchange(inbox_, {});
    inbox.shutdown_requested = loop_.ShutdownRequested();
    entry::Outbox out = entry::Step(*state_, inbox, ReadClock());
    WriteLogLines(out.log_lines);
    for (const Send& it : out.sends) {
      links_->Send(it.link, it.message);
    }
    for (const CloseLink& it : out.closes) {
      links_->Close(it.link, it.reason);
    }
    for (const entry::OutgoingReply& it : out.replies) {
      Reply(it);
    }
    for (stream::LogAppend& it : out.log_appends) {
      log_.Append(std::move(it));
    }
    for (const stream::LogRead& it : out.log_reads) {
      log_.Read(it);
    }
    if (out.may_exit) {
      Finish();
    }
  }

  void Finish() {
    if (std::exchange(finishing_, true)) {
      return;
    }
    callers_.server->Drain();
    operators_.server->Drain();
    loop_.StopWhen([this] {
      return callers_.server->Connections() == 0 &&
             operators_.server->Connections() == 0 && links_->Flushed();
    });
  }

  CounterTable& Counters() { return entry::Counters(*state_); }

  const settings::EntrySettings& settings_;
  boost::asio::io_context context_;
  RoleLoop loop_;
  entry::StatePtr state_;
  entry::Inbox inbox_;
  LogClient log_;
  std::optional<PeerLinks> links_;
  MetricsServer metrics_;
  Listener callers_;
  Listener operators_;
  std::map<entry::CallId, OpenCall> open_calls_;
  std::uint64_t next_call_ = 1;
  bool finishing_ = false;
};

}  // namespace

int RunEntry(const settings::EntrySettings& settings) {
  SetUpLogging(settings.log, settings.name);
  EntryShell shell(settings);
  const int status = shell.Run();
  FlushLogging();
  return status;
}

}  // namespace shallotlug::net
