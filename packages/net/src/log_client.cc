#include "log_client.h"

#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace shallotlug::net {
namespace {

namespace json = boost::json;

std::string RecordsTarget(const std::string& stream) {
  return "/v1/streams/" + stream + "/records";
}

// Fills the result in, unless the answer is no valid read.
void ParseRead(const HttpResponse& response, stream::LogReadResult& out) {
  if (response.status != 200) {
    return;
  }
  try {
    const json::value parsed = json::parse(response.body);
    const json::object& body = parsed.as_object();
    stream::LogReadResult result;
    result.stream = out.stream;
    result.start = body.at("start").to_number<std::uint64_t>();
    result.end = body.at("end").to_number<std::uint64_t>();
    for (const json::value& it : body.at("records").as_array()) {
      const json::object& record = it.as_object();
      result.records.push_back({record.at("offset").to_number<std::uint64_t>(),
                                std::string(record.at("id").as_string()),
                                std::string(record.at("data").as_string())});
    }
    result.ok = true;
    out = std::move(result);
  } catch (const std::exception&) {
    // Not the answer of a log service; the read counts as failed.
    out.ok = false;
  }
}

stream::AppendOutcome OutcomeOf(const FetchResult& result) {
  if (!result) {
    return result.error() == FetchError::kNeverSent
               ? stream::AppendOutcome::kNotAppended
               : stream::AppendOutcome::kUnknown;
  }
  const int status = result.value().status;
  if (status == 200 || status == 201) {
    return stream::AppendOutcome::kAppended;
  }
  // The service refused the request itself. A 5xx says nothing about what it
  // did before it failed.
  return status >= 400 && status < 500 ? stream::AppendOutcome::kNotAppended
                                       : stream::AppendOutcome::kUnknown;
}

}  // namespace

LogClient::LogClient(boost::asio::io_context& context,
                     LogClientOptions options,
                     LogClientHandlers handlers)
    : context_(context),
      options_(std::move(options)),
      handlers_(std::move(handlers)) {}

LogClient::Stream& LogClient::StreamOf(const std::string& name) {
  return streams_.try_emplace(name, context_).first->second;
}

void LogClient::Read(const stream::LogRead& read) {
  Stream& stream = StreamOf(read.stream);
  stream::LogReadResult result;
  result.stream = read.stream;
  if (stream.reader.Busy()) {
    handlers_.on_read(std::move(result));
    return;
  }
  HttpFetchOptions fetch;
  fetch.address = options_.address;
  fetch.target = RecordsTarget(read.stream) +
                 "?from=" + std::to_string(read.from) +
                 "&limit=" + std::to_string(options_.read_records) +
                 "&wait_ms=" + std::to_string(options_.read_wait.count());
  fetch.timeout = options_.read_timeout;
  stream.reader.Send(
      fetch, ConnectionUse::kReuseAndRepeat,
      [this, result = std::move(result)](FetchResult fetched) mutable {
        if (fetched) {
          ParseRead(fetched.value(), result);
        }
        handlers_.on_read(std::move(result));
      });
}

void LogClient::Append(stream::LogAppend append) {
  Stream& stream = StreamOf(append.stream);
  stream.appends.push_back(
      {std::move(append), std::chrono::steady_clock::now()});
  if (stream.appends.size() == 1) {
    SendAppend(stream);
  }
}

void LogClient::SendAppend(Stream& stream) {
  // What waited too long was never sent, and its owner may decide anew.
  const auto now = std::chrono::steady_clock::now();
  while (!stream.appends.empty() &&
         now - stream.appends.front().queued > options_.append_timeout) {
    const std::uint64_t token = stream.appends.front().append.token;
    stream.appends.pop_front();
    handlers_.on_append({token, stream::AppendOutcome::kNotAppended});
  }
  if (stream.appends.empty()) {
    return;
  }
  const stream::LogAppend& append = stream.appends.front().append;
  json::array records;
  for (const stream::NewRecord& it : append.records) {
    records.push_back(json::object{{"id", it.id}, {"data", it.data}});
  }
  HttpFetchOptions fetch;
  fetch.address = options_.address;
  fetch.method = "POST";
  fetch.target = RecordsTarget(append.stream);
  fetch.body = json::serialize(json::object{{"records", std::move(records)}});
  fetch.timeout = options_.append_timeout;
  stream.appender.Send(
      fetch, ConnectionUse::kFresh,
      [this, &stream, token = append.token](FetchResult result) {
        stream.appends.pop_front();
        handlers_.on_append({token, OutcomeOf(result)});
        SendAppend(stream);
      });
}

}  // namespace shallotlug::net
