#include <algorithm>

#include "burn_report.h"
#include "command.h"
#include "shallotlug/cli/cli.h"

namespace shallotlug::cli {
namespace {

bool Contains(const std::vector<std::string>& texts, const std::string& text) {
  return std::find(texts.begin(), texts.end(), text) != texts.end();
}

// Asks every entry that is given or that an answering entry knows.
BurnReport Collect(Context& context, FetchReply& last) {
  BurnReport report;
  std::vector<std::string> addresses = context.options.operators;
  for (std::size_t n = 0; n < addresses.size(); ++n) {
    const std::string address = addresses[n];
    last = context.fetch({address, "GET", "/v1/burn", "", context.options.token,
                          context.options.timeout});
    if (last.status != FetchStatus::kOk || last.http_status != 200) {
      report.silent.push_back(address);
      continue;
    }
    for (std::string& it : AddReply(report, address, last.body)) {
      if (!Contains(addresses, it)) {
        addresses.push_back(std::move(it));
      }
    }
  }
  return report;
}

}  // namespace

int RunReportBurn(Context& context) {
  FetchReply last;
  last.error = "no operator listener is given";
  const BurnReport report = Collect(context, last);
  if (report.answered.empty()) {
    return ReportFailure(context, last);
  }
  switch (context.options.output) {
    case Output::kTable:
      context.out << ToTable(report);
      break;
    case Output::kJson:
      context.out << ToJsonText(report);
      break;
    case Output::kHtml:
      context.out << ToHtml(report);
      break;
  }
  return kExitOk;
}

}  // namespace shallotlug::cli
