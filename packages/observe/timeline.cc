#include "observe/timeline.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>
#include <tuple>

namespace fuchsiaramp {

std::map<std::string, std::string>
ParseFields(const std::string& aLine)
{
  std::map<std::string, std::string> fields;
  std::size_t at = 0;
  while (at < aLine.size()) {
    at = aLine.find_first_not_of(' ', at);
    if (at == std::string::npos) {
      break;
    }
    const std::size_t equals = aLine.find('=', at);
    if (equals == std::string::npos) {
      break;
    }
    const std::string key = aLine.substr(at, equals - at);
    std::string value;
    at = equals + 1;
    if (at < aLine.size() && aLine[at] == '"') {
      for (++at; at < aLine.size() && aLine[at] != '"'; ++at) {
        if (aLine[at] == '\\' && at + 1 < aLine.size()) {
          ++at;
        }
        value += aLine[at];
      }
      ++at;
    } else {
      const std::size_t end = std::min(aLine.find(' ', at), aLine.size());
      value = aLine.substr(at, end - at);
      at = end;
    }
    fields[key] = value;
  }
  return fields;
}

static std::uint64_t
TakeNumber(std::map<std::string, std::string>& aFields, const char* aKey)
{
  std::uint64_t value = 0;
  const auto it = aFields.find(aKey);
  if (it != aFields.end()) {
    std::from_chars(
      it->second.data(), it->second.data() + it->second.size(), value);
    aFields.erase(it);
  }
  return value;
}

static std::string
TakeText(std::map<std::string, std::string>& aFields, const char* aKey)
{
  const auto it = aFields.find(aKey);
  if (it == aFields.end()) {
    return "";
  }
  std::string value = it->second;
  aFields.erase(it);
  return value;
}

void
Timeline::AddLog(const std::string& aText)
{
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    TimelineEvent event;
    event.fields = ParseFields(line);
    event.name = TakeText(event.fields, "event");
    event.host = TakeText(event.fields, "host");
    if (event.name.empty() || event.host.empty()) {
      m_skippedLines += line.empty() ? 0 : 1;
      continue;
    }
    event.time = TakeText(event.fields, "time");
    event.incarnation = TakeNumber(event.fields, "incarnation");
    event.sequence = TakeNumber(event.fields, "sequence");
    event.clock = TakeNumber(event.fields, "clock");
    event.fields.erase("level");
    m_events.push_back(std::move(event));
  }
}

void
Timeline::Sort()
{
  std::stable_sort(
    m_events.begin(),
    m_events.end(),
    [](const TimelineEvent& aLeft, const TimelineEvent& aRight) {
      return std::tie(
               aLeft.clock, aLeft.host, aLeft.incarnation, aLeft.sequence) <
             std::tie(
               aRight.clock, aRight.host, aRight.incarnation, aRight.sequence);
    });
}

bool
Timeline::Matches(const TimelineEvent& aEvent,
                  const std::map<std::string, std::string>& aFilter)
{
  return std::all_of(aFilter.begin(), aFilter.end(), [&](const auto& aItem) {
    if (aItem.first == "host") {
      return aEvent.host == aItem.second;
    }
    if (aItem.first == "event") {
      return aEvent.name == aItem.second;
    }
    const auto it = aEvent.fields.find(aItem.first);
    return it != aEvent.fields.end() && it->second == aItem.second;
  });
}

static std::string
FieldsText(const TimelineEvent& aEvent)
{
  std::string text;
  for (const auto& [key, value] : aEvent.fields) {
    text += text.empty() ? "" : " ";
    text += key;
    text += '=';
    text += value;
  }
  return text;
}

std::string
Timeline::Text(const std::map<std::string, std::string>& aFilter) const
{
  std::string text;
  for (const TimelineEvent& event : m_events) {
    if (!Matches(event, aFilter)) {
      continue;
    }
    std::string clock = std::to_string(event.clock);
    clock.insert(0, clock.size() < 8 ? 8 - clock.size() : 0, ' ');
    std::string host = event.host;
    host.resize(std::max<std::size_t>(host.size(), 12), ' ');
    for (const std::string& part : { clock, event.time, host, event.name }) {
      text += part;
      text += "  ";
    }
    text += FieldsText(event);
    text += '\n';
  }
  return text;
}

static std::string
Escape(const std::string& aText)
{
  std::string out;
  for (char c : aText) {
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

std::string
Timeline::Html(const std::map<std::string, std::string>& aFilter) const
{
  std::set<std::string> hosts;
  for (const TimelineEvent& event : m_events) {
    if (Matches(event, aFilter)) {
      hosts.insert(event.host);
    }
  }
  std::string html =
    "<!doctype html><meta charset=utf-8><title>fuchsiaramp timeline</title>"
    "<style>body{font:13px/1.45 system-ui,sans-serif;margin:1.5rem;"
    "background:#fafafa;color:#222}table{border-collapse:collapse}"
    "th{position:sticky;top:0;background:#8a1a5c;color:#fff;text-align:left;"
    "padding:.4rem .7rem}td{padding:.15rem .7rem;vertical-align:top;"
    "border-left:1px solid #ddd}tr:nth-child(even){background:#f1eef0}"
    "b{color:#8a1a5c}small{color:#666}</style>"
    "<h1>Timeline</h1><table><tr><th>clock<th>time";
  for (const std::string& host : hosts) {
    html += "<th>" + Escape(host);
  }
  html += "</tr>\n";
  for (const TimelineEvent& event : m_events) {
    if (!Matches(event, aFilter)) {
      continue;
    }
    html += "<tr><td>" + std::to_string(event.clock) + "<td><small>" +
            Escape(event.time) + "</small>";
    for (const std::string& host : hosts) {
      html += "<td>";
      if (host == event.host) {
        html += "<b>" + Escape(event.name) + "</b><br><small>" +
                Escape(FieldsText(event)) + "</small>";
      }
    }
    html += "</tr>\n";
  }
  return html + "</table>\n";
}

} // namespace fuchsiaramp
