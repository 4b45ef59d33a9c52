#include <algorithm>
#include <cmath>
#include <string_view>

#include "burn_report.h"
#include "table.h"

namespace shallotlug::cli {
namespace {

constexpr int kLabelWidth = 220;
constexpr int kPlotWidth = 460;
constexpr int kBarHeight = 10;
constexpr int kRowHeight = 44;
constexpr int kTopMargin = 24;
constexpr std::array<const char*, 3> kBarColours = {"#0b5c8a", "#4f97c4",
                                                    "#a9cde6"};
// Burn rates above this are drawn at the edge of the plot.
constexpr double kMaxPlottedRate = 100;

std::string Escape(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

// A logarithmic scale, so that a rate of 1 and one of 50 are both readable.
int ToPixels(double rate) {
  const double capped = std::clamp(rate, 0.0, kMaxPlottedRate);
  return static_cast<int>(std::log1p(capped) / std::log1p(kMaxPlottedRate) *
                          kPlotWidth);
}

std::string Text(int x, int y, const std::string& text) {
  return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) +
         "\">" + Escape(text) + "</text>\n";
}

std::string Bar(int y, double rate, const char* colour) {
  const int width = std::max(1, ToPixels(rate));
  return "<rect x=\"" + std::to_string(kLabelWidth) + "\" y=\"" +
         std::to_string(y) + "\" width=\"" + std::to_string(width) +
         "\" height=\"" + std::to_string(kBarHeight) + "\" fill=\"" + colour +
         "\"/>\n" +
         Text(kLabelWidth + width + 6, y + kBarHeight - 1,
              FormatNumber(rate, 2));
}

std::string Gridline(double rate, int height) {
  const std::string x = std::to_string(kLabelWidth + ToPixels(rate));
  return "<line x1=\"" + x + "\" x2=\"" + x + "\" y1=\"" +
         std::to_string(kTopMargin) + "\" y2=\"" + std::to_string(height) +
         "\" stroke=\"" + (rate == 1 ? "#c0392b" : "#ddd") + "\"/>\n" +
         Text(kLabelWidth + ToPixels(rate) - 6, kTopMargin - 8,
              FormatNumber(rate, 0));
}

std::string Plot(const BurnReport& report) {
  const int height =
      kTopMargin + kRowHeight * static_cast<int>(report.lines.size()) + 8;
  std::string svg = "<svg width=\"" +
                    std::to_string(kLabelWidth + kPlotWidth + 60) +
                    "\" height=\"" + std::to_string(height) +
                    "\" role=\"img\" aria-label=\"Burn rates\">\n";
  for (const double rate : {0.0, 1.0, 10.0, 100.0}) {
    svg += Gridline(rate, height);
  }
  int y = kTopMargin + 4;
  for (const BurnLine& line : report.lines) {
    svg += Text(0, y + kRowHeight / 2 - 4, line.name + " / " + line.customer);
    for (std::size_t n = 0; n < line.windows.size(); ++n) {
      svg += Bar(y + static_cast<int>(n) * (kBarHeight + 2),
                 BurnRate(line, line.windows[n]), kBarColours[n]);
    }
    y += kRowHeight;
  }
  return svg + "</svg>\n";
}

std::string Cell(const std::string& text) {
  return "<td>" + Escape(text) + "</td>";
}

std::string Rows(const BurnReport& report) {
  std::string html;
  for (const BurnLine& it : report.lines) {
    html += "<tr>" + Cell(it.name) + Cell(it.customer) +
            Cell(std::to_string(it.finish_within_ms) + " ms") +
            Cell(FormatNumber(it.objective * 100, 2) + " %") +
            Cell(std::to_string(it.windows.back().total)) +
            Cell(FormatNumber(ShareMet(it.windows.back()) * 100, 3) + " %") +
            Cell(FormatNumber(BudgetLeft(it) * 100, 1) + " %") +
            Cell(it.guarantee) + "</tr>\n";
  }
  return html;
}

std::string Coverage(const BurnReport& report) {
  std::string text =
      "<p>Entries that answered: " + std::to_string(report.answered.size());
  for (const std::string& it : report.silent) {
    text += ". <strong>No answer from " + Escape(it) + "</strong>";
  }
  return text + ".</p>\n";
}

}  // namespace

std::string ToHtml(const BurnReport& report) {
  return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
         "<title>Service-level burn</title>\n<style>\n"
         "body{font:14px sans-serif;margin:2em;color:#222}\n"
         "table{border-collapse:collapse;margin-top:1em}\n"
         "td,th{border:1px solid #ccc;padding:4px 10px;text-align:left}\n"
         "svg text{font:11px sans-serif}\n"
         "</style></head><body>\n<h1>Service-level burn</h1>\n" +
         Coverage(report) +
         "<p>Burn rate per class over 5 minutes (dark), 1 hour and 6 hours "
         "(light). At 1, the red line, the error budget lasts exactly its "
         "period.</p>\n" +
         Plot(report) +
         "<table><tr><th>Class</th><th>Customer</th><th>Target</th>"
         "<th>Objective</th><th>Done 6h</th><th>Met 6h</th>"
         "<th>Budget left</th><th>Guarantee</th></tr>\n" +
         Rows(report) + "</table>\n</body></html>\n";
}

}  // namespace shallotlug::cli
