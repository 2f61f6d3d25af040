#include "base/findings.h"

#include <utility>

namespace fuchsiaramp {

Findings::Findings(std::string aDocument)
  : m_document(std::move(aDocument))
{
}

void
Findings::Add(SourcePosition aPosition, std::string aText)
{
  m_findings.push_back({ aPosition, std::move(aText) });
}

std::string
Findings::Text() const
{
  std::string text;
  for (const Finding& finding : m_findings) {
    text += m_document;
    text += ':' + std::to_string(finding.position.line);
    text += ':' + std::to_string(finding.position.column);
    text += ": " + finding.text + '\n';
  }
  return text;
}

} // namespace fuchsiaramp
