// Typed events that the decision logic records for logs and the time line.
//
//   record(Event("backend_server_ejected").With("server", id));
#pragma once

#include <functional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace fuchsiaramp {

// One field of an event.
struct EventField
{
  std::string key;
  std::string value;
};

// An event name with fields, in order.
class Event
{
public:
  explicit Event(std::string aName)
    : m_name(std::move(aName))
  {
  }

  template<class T>
  Event&& With(std::string aKey, const T& aValue) &&
  {
    Add(std::move(aKey), aValue);
    return std::move(*this);
  }

  template<class T>
  void Add(std::string aKey, const T& aValue)
  {
    std::ostringstream text;
    text << aValue;
    m_fields.push_back({ std::move(aKey), text.str() });
  }

  // Logged only at level DEBUG: there are several for each request.
  Event&& AsDebug() &&
  {
    m_isDetail = true;
    return std::move(*this);
  }

  const std::string& Name() const { return m_name; }
  bool IsDebug() const { return m_isDetail; }
  const std::vector<EventField>& Fields() const { return m_fields; }

private:
  std::string m_name;
  bool m_isDetail = false;
  std::vector<EventField> m_fields;
};

using EventHook = std::function<void(const Event& aEvent)>;

} // namespace fuchsiaramp
