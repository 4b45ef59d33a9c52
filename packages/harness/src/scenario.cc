#include "shallotlug/harness/scenario.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace shallotlug::harness {
namespace {

// A pattern is a list of literal words and of placeholders:
//   <a> <b>     a process: two words, such as `entry 1` or `agent all`
//   <agent>     a number of an agent
//   <name>      a name of a request, job, class or change
//   <word>      one of the values listed in `words`
//   <for>       a duration; <within> the same, kept apart
//   <number>    a number that is not negative
//   <options>   any of the keys listed in `options`, as key=value
struct Grammar {
  Verb verb;
  const char* pattern;
  const char* options;
  const char* words;
};

constexpr char kWorkOptions[] =
    "run customer class fails repeatable timeout tasks accelerators within "
    "checkpointable declared";

constexpr Grammar kGrammar[] = {
    {Verb::kCluster, "cluster <options>",
     "entries agents racks seed retention targets", ""},
    {Verb::kWithout, "without <word>", "",
     "agent.remember_requests agent.check_incarnation "
     "agent.check_start_before agent.run_until agent.refuse_when_leaving "
     "agent.drain_on_shutdown agent.monotonic_config agent.check_pause "
     "entry.not_run_needs_proof entry.match_answers "
     "entry.check_answer_length entry.never_retry_unrepeatable "
     "entry.claim_before_start entry.drain_on_shutdown "
     "entry.monotonic_config entry.warm_up entry.keep_guarantees"},
    {Verb::kKill, "kill <a>", "", ""},
    {Verb::kRestart, "restart <a>", "", ""},
    {Verb::kDestroy, "destroy <a>", "", ""},
    {Verb::kFreeze, "freeze <a> for <for>", "", ""},
    {Verb::kShutdown, "shutdown <a>", "", ""},
    {Verb::kCut, "cut <a> from <b> for <for>", "", ""},
    {Verb::kSilence, "silence <a> from <b>", "", ""},
    {Verb::kBreak, "break <a> from <b>", "", ""},
    {Verb::kDelay, "delay <a> from <b> by <within> for <for>", "", ""},
    {Verb::kLose, "lose <number> percent between <a> and <b> for <for>", "",
     ""},
    {Verb::kReplay, "replay <number> percent between <a> and <b> for <for>", "",
     ""},
    {Verb::kDamageAnswers, "damage <number> percent of answers for <for>", "",
     ""},
    {Verb::kLogOutage, "log outage <for>", "", ""},
    {Verb::kLogSlow, "log slow <within> for <for>", "", ""},
    {Verb::kLogLosesAnswers, "log loses answers for <for>", "", ""},
    {Verb::kLeave, "leave agent <agent>", "", ""},
    {Verb::kStay, "stay agent <agent>", "", ""},
    {Verb::kFail, "fail agent <agent>", "", ""},
    {Verb::kMend, "mend agent <agent>", "", ""},
    {Verb::kCutAnswers, "cut answers of agent <agent>", "", ""},
    {Verb::kRestartWorker, "restart worker <agent>", "", ""},
    {Verb::kCheckpointTime, "checkpoint time <for>", "", ""},
    {Verb::kMint, "mint <name> through <a> <options>", "customer class", ""},
    {Verb::kSend, "send <name> through <a> <options>", kWorkOptions, ""},
    {Verb::kRepeat, "repeat <name> through <a> <options>", "timeout", ""},
    {Verb::kAsk, "ask <name> through <a> <options>", kWorkOptions, ""},
    {Verb::kResolve, "resolve <name> through <a>", "", ""},
    {Verb::kCancelRequest, "cancel request <name> through <a>", "", ""},
    {Verb::kSubmit, "submit <name> through <a> <options>", kWorkOptions, ""},
    {Verb::kCancelJob, "cancel job <name> through <a>", "", ""},
    {Verb::kCancelAll, "cancel all through <a> <options>", "customer class",
     ""},
    {Verb::kSubmitMany, "submit <number> jobs <name> through <a> <options>",
     kWorkOptions, ""},
    {Verb::kSetTarget, "set target <word> as <name> through <a> <options>",
     "customer kind finish_within accelerators groups per_group within base",
     "*"},
    {Verb::kRemoveTarget,
     "remove target <word> as <name> through <a> <options>", "customer base",
     "*"},
    {Verb::kWait, "wait <for>", "", ""},
    {Verb::kCalm, "calm", "", ""},
    {Verb::kSettle, "settle within <within>", "", ""},
    {Verb::kExpectRequest, "expect request <name> <word> within <within>", "",
     "answered not_run unknown failed conflict invalid not_found replied lost "
     "started"},
    {Verb::kExpectJob, "expect job <name> <word> within <within>", "",
     "accepted not_accepted can_never_run unknown started running finished "
     "failed "
     "cancelled outcome_unknown final"},
    {Verb::kExpectChange, "expect change <name> <word> within <within>", "",
     "accepted conflict exceeds_capacity not_accepted unknown replied "
     "in_force"},
    {Verb::kExpectStarts, "expect starts of <name> at most <number>", "", ""},
    {Verb::kExpectReclaimed, "expect reclaimed job <name> within <within>", "",
     ""},
    {Verb::kExpectBurst, "expect burst <name> final within <within>", "", ""},
};

constexpr int kMaxNumber = 1'000'000;

struct Token {
  std::string_view text;
  int column = 0;
};

std::vector<Token> Tokens(std::string_view line) {
  std::vector<Token> tokens;
  std::size_t at = 0;
  while (at < line.size()) {
    if (line[at] == ' ' || line[at] == '\t' || line[at] == '\r') {
      ++at;
      continue;
    }
    if (line[at] == '#') {
      break;
    }
    const std::size_t end =
        std::min(line.find_first_of(" \t\r#", at), line.size());
    tokens.push_back({line.substr(at, end - at), static_cast<int>(at) + 1});
    at = end;
  }
  return tokens;
}

bool IsWordOf(std::string_view list, std::string_view word) {
  const std::vector<Token> tokens = Tokens(list);
  return std::any_of(tokens.begin(), tokens.end(),
                     [&](const Token& it) { return it.text == word; });
}

std::optional<int> ParseNumber(std::string_view text) {
  int number = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (ec != std::errc() || end != text.data() + text.size() || number < 0 ||
      number > kMaxNumber) {
    return std::nullopt;
  }
  return number;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= 64 &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '_' || c == '-';
         });
}

std::string ExpectedOf(std::string_view placeholder) {
  if (placeholder == "<a>" || placeholder == "<b>") {
    return "a process such as 'entry 1' or 'agent all'";
  }
  if (placeholder == "<agent>") {
    return "the number of an agent";
  }
  if (placeholder == "<name>") {
    return "a name of letters, digits, '_' and '-'";
  }
  if (placeholder == "<for>" || placeholder == "<within>") {
    return "a duration such as '300ms', '2s' or '5min'";
  }
  if (placeholder == "<number>") {
    return "a number";
  }
  return "'" + std::string(placeholder) + "'";
}

// Matches the tokens of one line against one pattern and records how far it
// got, so that the error of the pattern that got farthest is reported.
struct Match {
  const Grammar& grammar;
  const std::vector<Token>& tokens;
  std::size_t at;
  int end_column;
  Step step;
  int column = 0;
  std::string error;

  bool Fail(const std::string& message) {
    column = at < tokens.size() ? tokens[at].column : end_column;
    error = message;
    return false;
  }

  bool Process(ProcessRef& process, std::string_view placeholder) {
    if (at + 1 >= tokens.size()) {
      return Fail("expected " + ExpectedOf(placeholder));
    }
    if (tokens[at].text != "entry" && tokens[at].text != "agent") {
      return Fail("expected " + ExpectedOf(placeholder));
    }
    process.role = tokens[at].text == "entry" ? Role::kEntry : Role::kAgent;
    ++at;
    const std::optional<int> index = ParseNumber(tokens[at].text);
    if (tokens[at].text != "all" && (!index || *index < 1)) {
      return Fail("expected a number from 1 or 'all'");
    }
    process.index = index.value_or(0);
    ++at;
    return true;
  }

  bool Options() {
    for (; at < tokens.size(); ++at) {
      const std::string_view text = tokens[at].text;
      const std::size_t equals = text.find('=');
      if (equals == std::string_view::npos || equals + 1 == text.size()) {
        return Fail("expected key=value");
      }
      const std::string key(text.substr(0, equals));
      if (!IsWordOf(grammar.options, key)) {
        return Fail("unknown key '" + key + "'; known: " + grammar.options);
      }
      const std::string value(text.substr(equals + 1));
      const std::string error = CheckOption(key, value);
      if (!error.empty()) {
        return Fail(error);
      }
      if (!step.options.emplace(key, value).second) {
        return Fail("key '" + key + "' is given twice");
      }
    }
    return true;
  }

  std::string CheckOption(const std::string& key, const std::string& value) {
    if (key == "run" || key == "timeout" || key == "declared" ||
        key == "finish_within" || key == "retention") {
      return ParseDuration(value) ? "" : "expected a duration after " + key;
    }
    if (key == "fails" || key == "repeatable" || key == "checkpointable" ||
        key == "targets") {
      return value == "yes" || value == "no"
                 ? ""
                 : "expected yes or no after " + key;
    }
    if (key == "within") {
      return IsWordOf("worker rack data_centre any", value)
                 ? ""
                 : "expected worker, rack, data_centre or any";
    }
    if (key == "kind") {
      return IsWordOf("live batch", value) ? "" : "expected live or batch";
    }
    if (key == "base") {
      return value == "current" || ParseNumber(value)
                 ? ""
                 : "expected a version or 'current'";
    }
    if (key == "customer" || key == "class") {
      return IsName(value) ? "" : "expected a name after " + key;
    }
    return ParseNumber(value) ? "" : "expected a number after " + key;
  }

  bool Placeholder(std::string_view word) {
    if (word == "<options>") {
      return Options();
    }
    if (word == "<a>") {
      return Process(step.a, word);
    }
    if (word == "<b>") {
      return Process(step.b, word);
    }
    if (at >= tokens.size()) {
      return Fail("expected " + (word == "<word>"
                                     ? std::string("one of: ") + grammar.words
                                     : ExpectedOf(word)));
    }
    const std::string_view text = tokens[at].text;
    if (word == "<name>") {
      if (!IsName(text)) {
        return Fail("expected " + ExpectedOf(word));
      }
      step.name = text;
    } else if (word == "<word>") {
      const bool any = std::string_view(grammar.words) == "*";
      if (any ? !IsName(text) : !IsWordOf(grammar.words, text)) {
        return Fail(std::string("expected ") +
                    (any ? "a name" : std::string("one of: ") + grammar.words));
      }
      step.word = text;
    } else if (word == "<for>" || word == "<within>") {
      const std::optional<Millis> duration = ParseDuration(text);
      if (!duration) {
        return Fail("expected " + ExpectedOf(word));
      }
      (word == "<for>" ? step.duration : step.within) = *duration;
    } else {
      const std::optional<int> number = ParseNumber(text);
      if (!number || (word == "<agent>" && *number < 1)) {
        return Fail("expected " + ExpectedOf(word));
      }
      (word == "<agent>" ? step.a.index : step.number) = *number;
      if (word == "<agent>") {
        step.a.role = Role::kAgent;
      }
    }
    ++at;
    return true;
  }

  bool Run() {
    step.verb = grammar.verb;
    for (const Token& part : Tokens(grammar.pattern)) {
      if (part.text.front() == '<') {
        if (!Placeholder(part.text)) {
          return false;
        }
      } else if (at >= tokens.size() || tokens[at].text != part.text) {
        return Fail("expected '" + std::string(part.text) + "'");
      } else {
        ++at;
      }
    }
    return at == tokens.size() || Fail("unexpected text");
  }
};

void ParseLine(const std::string& file,
               int line_number,
               std::string_view line,
               ParsedScenario& parsed) {
  const std::vector<Token> tokens = Tokens(line);
  if (tokens.empty()) {
    return;
  }
  const auto fault = [&](int column, const std::string& message) {
    parsed.findings.push_back({file, "", line_number, column, message});
  };
  Step start;
  start.line = line_number;
  std::size_t first = 0;
  const int end_column =
      tokens.back().column + static_cast<int>(tokens.back().text.size());
  if (tokens[0].text == "at") {
    if (tokens.size() < 2 || !ParseDuration(tokens[1].text)) {
      fault(tokens.size() < 2 ? end_column : tokens[1].column,
            "expected " + ExpectedOf("<for>"));
      return;
    }
    start.at = ParseDuration(tokens[1].text);
    first = 2;
  }
  std::size_t farthest = first;
  int column = first < tokens.size() ? tokens[first].column : end_column;
  std::string error = "unknown step; docs/scenarios.md lists the steps";
  for (const Grammar& grammar : kGrammar) {
    Match match{grammar, tokens, first, end_column, start, 0, ""};
    if (match.Run()) {
      parsed.scenario.steps.push_back(match.step);
      return;
    }
    if (match.at > farthest) {
      farthest = match.at;
      column = match.column;
      error = match.error;
    }
  }
  fault(column, error);
}

void AppendOptions(const Step& step, std::string& text) {
  for (const auto& [key, value] : step.options) {
    text += " " + key + "=" + value;
  }
}

}  // namespace

std::optional<Millis> ParseDuration(std::string_view text) {
  constexpr std::array<std::pair<std::string_view, int>, 3> kUnits = {
      {{"ms", 1}, {"min", 60'000}, {"s", 1000}}};
  for (const auto& [unit, factor] : kUnits) {
    if (text.ends_with(unit)) {
      const auto number =
          ParseNumber(text.substr(0, text.size() - unit.size()));
      if (!number) {
        return std::nullopt;
      }
      return Millis(std::int64_t{*number} * factor);
    }
  }
  return std::nullopt;
}

std::string ToString(Millis duration) {
  const std::int64_t count = duration.count();
  // The parser reads no larger number of seconds.
  if (count / 1000 > kMaxNumber && count % 60'000 == 0) {
    return std::to_string(count / 60'000) + "min";
  }
  return count % 1000 == 0 ? std::to_string(count / 1000) + "s"
                           : std::to_string(count) + "ms";
}

ParsedScenario ParseScenario(const std::string& file, std::string_view text) {
  ParsedScenario parsed;
  parsed.scenario.file = file;
  int line_number = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    ParseLine(file, ++line_number, text.substr(0, end), parsed);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  if (parsed.findings.empty() &&
      (parsed.scenario.steps.empty() ||
       parsed.scenario.steps.front().verb != Verb::kCluster)) {
    parsed.findings.push_back(
        {file, "", 1, 1, "the first step must be 'cluster'"});
  }
  return parsed;
}

std::string ToString(const Step& step) {
  std::string text;
  if (step.at) {
    text += "at " + ToString(*step.at) + " ";
  }
  const auto grammar =
      std::find_if(std::begin(kGrammar), std::end(kGrammar),
                   [&](const Grammar& it) { return it.verb == step.verb; });
  bool first = true;
  for (const Token& part : Tokens(grammar->pattern)) {
    if (part.text == "<options>") {
      AppendOptions(step, text);
      continue;
    }
    text += first ? "" : " ";
    first = false;
    if (part.text == "<a>") {
      text += ToString(step.a);
    } else if (part.text == "<b>") {
      text += ToString(step.b);
    } else if (part.text == "<agent>") {
      text += std::to_string(step.a.index);
    } else if (part.text == "<name>") {
      text += step.name;
    } else if (part.text == "<word>") {
      text += step.word;
    } else if (part.text == "<for>") {
      text += ToString(step.duration);
    } else if (part.text == "<within>") {
      text += ToString(step.within);
    } else if (part.text == "<number>") {
      text += std::to_string(step.number);
    } else {
      text += part.text;
    }
  }
  return text;
}

std::string ToString(const Scenario& scenario) {
  std::string text;
  for (const Step& step : scenario.steps) {
    text += ToString(step) + "\n";
  }
  return text;
}

}  // namespace shallotlug::harness
