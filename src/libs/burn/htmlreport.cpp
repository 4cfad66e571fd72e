#include "burn/htmlreport.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"
#include "burn/textreport.h"

#include <algorithm>

namespace Burn {

namespace {

constexpr double kWidth = 640;
constexpr double kHeight = 160;
constexpr const char* kStyle =
  "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
  "td,th{border:1px solid #999;padding:.3em .6em;text-align:right}.alert{background:#fbb}"
  "svg{border:1px solid #999;margin:.5em 0}";

std::string
Escape(const std::string& aText)
{
  return absl::StrReplaceAll(
    aText, { { "&", "&amp;" }, { "<", "&lt;" }, { ">", "&gt;" }, { "\"", "&quot;" } });
}

double
MaxPlottedRate(const ObjectiveBurn& aBurn)
{
  double highest = 1;
  for (const PlotPoint& point : aBurn.mPlot) {
    highest = std::max(highest, point.mRate);
  }
  for (const PairBurn& pair : aBurn.mPairs) {
    highest = std::max(highest, pair.mThreshold);
  }
  return highest;
}

std::string
RenderPlot(const ObjectiveBurn& aBurn)
{
  const double highest = MaxPlottedRate(aBurn);
  const auto heightOf = [highest](double aRate) { return kHeight * (1 - aRate / highest); };
  std::string svg = absl::StrFormat("<svg width=\"%g\" height=\"%g\" role=\"img\">"
                                    "<title>burn rate, axis maximum %.1f</title>",
                                    kWidth,
                                    kHeight,
                                    highest);
  for (const PairBurn& pair : aBurn.mPairs) {
    const double y = heightOf(pair.mThreshold);
    absl::StrAppendFormat(
      &svg,
      "<line x1=\"0\" x2=\"%g\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#c33\" "
      "stroke-dasharray=\"4\"/><text x=\"4\" y=\"%.1f\" font-size=\"11\">%g</text>",
      kWidth,
      y,
      y,
      y + 12,
      pair.mThreshold);
  }
  absl::StrAppend(&svg, "<polyline fill=\"none\" stroke=\"#036\" points=\"");
  const double last = std::max<double>(1, static_cast<double>(aBurn.mPlot.size()) - 1);
  for (size_t i = 0; i < aBurn.mPlot.size(); ++i) {
    const double x = kWidth * static_cast<double>(i) / last;
    absl::StrAppendFormat(&svg, "%.1f,%.1f ", x, heightOf(aBurn.mPlot[i].mRate));
  }
  return svg + "\"/></svg>";
}

std::string
RenderRow(const PairBurn& aPair)
{
  return absl::StrFormat("<tr%s><td>%s / %s</td><td>%.2f</td><td>%.2f</td><td>%g</td>"
                         "<td>%s</td></tr>",
                         aPair.mAlerts ? " class=\"alert\"" : "",
                         WindowName(aPair.mShort.mWindow),
                         WindowName(aPair.mLong.mWindow),
                         aPair.mShort.mRate,
                         aPair.mLong.mRate,
                         aPair.mThreshold,
                         aPair.mAlerts ? "alert" : "ok");
}

std::string
RenderSection(const ObjectiveBurn& aBurn)
{
  std::string html = absl::StrFormat("<h2>%s: %s, target %g</h2><table><tr><th>windows</th>"
                                     "<th>short</th><th>long</th><th>threshold</th><th>state</th>"
                                     "</tr>",
                                     Escape(aBurn.mObjective.mService),
                                     Escape(aBurn.mObjective.mName),
                                     aBurn.mObjective.mTarget);
  for (const PairBurn& pair : aBurn.mPairs) {
    absl::StrAppend(&html, RenderRow(pair));
  }
  return absl::StrCat(html, "</table>", RenderPlot(aBurn), "\n");
}

} // namespace

std::string
ToHtml(const Report& aReport)
{
  std::string html = absl::StrCat("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
                                  "<title>Error budget burn</title><style>",
                                  kStyle,
                                  "</style></head><body><h1>Error budget burn</h1><p>Unix time ",
                                  aReport.mTime.count(),
                                  "</p>\n");
  for (const std::string& instance : aReport.mSilentInstances) {
    absl::StrAppend(&html, "<p class=\"alert\">No recent counters: ", Escape(instance), "</p>\n");
  }
  for (const ObjectiveBurn& burn : aReport.mObjectives) {
    absl::StrAppend(&html, RenderSection(burn));
  }
  return html + "</body></html>\n";
}

} // namespace Burn
