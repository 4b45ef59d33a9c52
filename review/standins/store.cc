#include "store.h"

#include <algorithm>

#include <boost/json.hpp>

namespace review {

namespace json = boost::json;

namespace {

// Limits of PROTOCOL.md and DEPLOY.md.
constexpr std::size_t kRecordBytes = 262'144;
constexpr std::size_t kRequestBytes = 2'097'152;
constexpr std::size_t kRepeatsKnown = 5;
constexpr std::size_t kNewestPage = 500;
constexpr std::size_t kNewestBytes = 1'000'000;

std::uint64_t Number(const std::map<std::string, std::string>& query,
                     const char* name,
                     std::uint64_t otherwise) {
  const auto it = query.find(name);
  return it == query.end() ? otherwise
                           : std::strtoull(it->second.c_str(), nullptr, 10);
}

std::string BigEndian(std::uint64_t n, int bytes) {
  std::string text;
  for (int it = bytes; it-- > 0;) {
    text += static_cast<char>(n >> (8 * it) & 0xff);
  }
  return text;
}

std::string Decoded(const std::string& text) {
  std::string to;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size()) {
      to += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
      n += 2;
    } else {
      to += text[n];
    }
  }
  return to;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const auto end = target.find('&', at + 1);
    const std::string part = target.substr(at + 1, end - at - 1);
    const auto equals = part.find('=');
    query[part.substr(0, equals)] = Decoded(part.substr(equals + 1));
    at = end;
  }
  return query;
}

KeyedRecord Keyed(const std::string& record) {
  const std::size_t size =
      record.empty() ? 0 : static_cast<unsigned char>(record[0]);
  if (record.size() < 1 + size) {
    return {};
  }
  return {record.substr(1, size), record.substr(1 + size)};
}

std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t n = 0; n < bytes.size(); n += 3) {
    std::uint32_t group = 0;
    for (std::size_t it = 0; it < 3; ++it) {
      group = group << 8 |
              (n + it < bytes.size() ? static_cast<unsigned char>(bytes[n + it])
                                     : 0U);
    }
    for (std::size_t it = 0; it < 4; ++it) {
      text +=
          n + it > bytes.size() ? '=' : kDigits[group >> (6 * (3 - it)) & 0x3f];
    }
  }
  return text;
}

/// @brief The records of a body; none if one of them is not allowed.
std::optional<std::vector<std::string>> Records(const std::string& body) {
  std::vector<std::string> records;
  std::size_t at = 0;
  std::size_t total = 0;
  while (at + 4 <= body.size()) {
    std::size_t size = 0;
    for (int n = 0; n < 4; ++n) {
      size = size << 8 | static_cast<unsigned char>(body[at++]);
    }
    total += size;
    if (size > kRecordBytes || total > kRequestBytes ||
        at + size > body.size()) {
      return std::nullopt;
    }
    records.push_back(body.substr(at, size));
    at += size;
  }
  return records;
}

Response Json(int status, const json::object& body) {
  return {status, json::serialize(body)};
}

}  // namespace

std::optional<Response> LogStore::Handle(const std::string& caller,
                                         const Request& request) {
  const Query query = QueryOf(request.target);
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/api/log-append") {
    return Append(caller, query, request.body);
  }
  if (path == "/api/log-read") {
    return Read(query);
  }
  if (path == "/api/log-newest") {
    return Newest(query);
  }
  return Json(404, {});
}

void LogStore::SetAppendHook(AppendHook hook) {
  const std::lock_guard<std::mutex> lock(mutex_);
  hook_ = std::move(hook);
}

void LogStore::Put(const std::string& topic, const KeyedRecord& record) {
  const std::lock_guard<std::mutex> lock(mutex_);
  topics_[topic].records.push_back(BigEndian(record.key.size(), 1) +
                                   record.key + record.value);
  appended_.notify_all();
}

Response LogStore::Append(const std::string& caller,
                          const Query& query,
                          const std::string& body) {
  const auto records = Records(body);
  if (!records) {
    return Json(413, {{"reason", "size"}});
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  Topic& topic = topics_[query.at("topic")];
  const std::uint64_t end = topic.records.size();
  const bool with_producer = query.contains("producer");
  const std::uint64_t epoch = Number(query, "epoch", 0);
  const std::uint64_t sequence = Number(query, "sequence", 0);
  if (with_producer) {
    const Producer& known = topic.producers[query.at("producer")];
    if (epoch < known.epoch) {
      return Json(409, {{"reason", "fenced"}});
    }
    if (epoch == known.epoch && known.next && sequence != *known.next) {
      for (const auto& [number, answer] : known.answers) {
        if (number == sequence) {
          return {200, answer};
        }
      }
      return Json(409, {{"reason", "seq"}, {"expected", *known.next}});
    }
  }
  if (query.contains("at") && Number(query, "at", 0) != end) {
    return Json(412, {{"end_offset", end}});
  }
  std::vector<KeyedRecord> keyed;
  for (const std::string& it : *records) {
    topic.records.push_back(it);
    keyed.push_back(Keyed(it));
  }
  const std::string answer = json::serialize(
      json::object{{"offset", end}, {"end_offset", end + records->size()}});
  if (with_producer) {
    Producer& producer = topic.producers[query.at("producer")];
    if (epoch > producer.epoch) {
      producer.answers.clear();
    }
    producer.epoch = epoch;
    producer.next = sequence + 1;
    producer.answers.emplace_back(sequence, answer);
    if (producer.answers.size() > kRepeatsKnown) {
      producer.answers.pop_front();
    }
  }
  if (hook_) {
    hook_(caller, keyed);
  }
  appended_.notify_all();
  return {200, answer};
}

Response LogStore::Read(const Query& query) {
  const std::uint64_t from = Number(query, "from", 0);
  const std::uint64_t most = Number(query, "max_kilobytes", 1'024) * 1'024;
  const auto until = Clock::now() + Millis(Number(query, "wait_ms", 0));
  std::unique_lock<std::mutex> lock(mutex_);
  const Topic& topic = topics_[query.at("topic")];
  appended_.wait_until(lock, until,
                       [&] { return topic.records.size() > from; });
  Response response;
  response.content_type = "application/octet-stream";
  response.body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
  std::size_t bytes = 0;
  for (std::uint64_t n = from; n < topic.records.size(); ++n) {
    bytes += topic.records[n].size();
    if (bytes > most && n > from) {
      break;
    }
    response.body += BigEndian(topic.records[n].size(), 4) + topic.records[n];
  }
  return response;
}

Response LogStore::Newest(const Query& query) {
  const auto after = query.find("depends_on");
  const std::lock_guard<std::mutex> lock(mutex_);
  const Topic& topic = topics_[query.at("topic")];
  std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
  for (std::uint64_t n = 0; n < topic.records.size(); ++n) {
    KeyedRecord it = Keyed(topic.records[n]);
    if (it.value.empty()) {
      newest.erase(it.key);
    } else {
      newest[it.key] = {n, std::move(it.value)};
    }
  }
  json::array items;
  std::size_t bytes = 0;
  bool more = false;
  for (const auto& [key, stored] : newest) {
    if (after != query.end() && key <= after->second) {
      continue;
    }
    if (items.size() == kNewestPage || bytes > kNewestBytes) {
      more = true;
      break;
    }
    bytes += stored.second.size();
    items.push_back(json::object{{"key", key},
                                 {"value", Base64(stored.second)},
                                 {"offset", stored.first}});
  }
  return Json(200, {{"items", std::move(items)},
                    {"has_more", more},
                    {"end_offset", topic.records.size()}});
}

}  // namespace review
