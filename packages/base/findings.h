// Collects all errors found in a document, each with its position, so that they
// are reported together.
//
//   Findings findings("lists.yaml");
//   findings.Add({ 3, 9 }, "unknown key 'rate'");
//   if (!findings.IsEmpty()) std::cerr << findings.Text();
#pragma once

#include <string>
#include <vector>

namespace fuchsiaramp {

// A position in a document. Lines and columns are numbered from 1; 0 means
// unknown.
struct SourcePosition
{
  int line = 0;
  int column = 0;
};

struct Finding
{
  SourcePosition position;
  std::string text;
};

class Findings
{
public:
  // aDocument is the name of the document in reports, usually its file name.
  explicit Findings(std::string aDocument);

  void Add(SourcePosition aPosition, std::string aText);
  bool IsEmpty() const { return m_findings.empty(); }
  const std::vector<Finding>& All() const { return m_findings; }

  // Returns one line per finding: "document:line:column: text".
  std::string Text() const;

private:
  std::string m_document;
  std::vector<Finding> m_findings;
};

} // namespace fuchsiaramp
