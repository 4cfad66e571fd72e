#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/endpoint.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Settings {

/// Inclusive limits of an integer setting.
struct Range
{
  int64_t mMin;
  int64_t mMax;
};

/// A parsed settings file. All readers of a document share its first error.
struct Document;

/// Parses JSON text.
/// \return the document, or InvalidArgument with the position of the error.
absl::StatusOr<std::shared_ptr<Document>>
ParseDocument(const std::string& aText);

/// Reads and parses a settings file.
/// \return the document, NotFound if the file can't be read, or InvalidArgument.
absl::StatusOr<std::shared_ptr<Document>>
LoadDocument(const std::string& aPath);

/// Reads the keys of one JSON object and checks their types and ranges. The document keeps
/// the first error with the path of its key; an invalid value is replaced by a default.
class Reader
{
public:
  /// Reads the root of a document.
  explicit Reader(std::shared_ptr<Document> aDocument);

  bool Has(const std::string& aKey) const;
  std::string String(const std::string& aKey);
  std::string StringOr(const std::string& aKey, const std::string& aDefault);
  int64_t Integer(const std::string& aKey, Range aRange);
  int64_t IntegerOr(const std::string& aKey, Range aRange, int64_t aDefault);
  double NumberOr(const std::string& aKey, double aMin, double aMax, double aDefault);
  bool BoolOr(const std::string& aKey, bool aDefault);
  Base::Endpoint Endpoint(const std::string& aKey);
  std::vector<Base::Endpoint> Endpoints(const std::string& aKey);
  std::vector<std::string> Strings(const std::string& aKey);
  /// \return the strings of an array and of arrays in it, or nothing if the setting is null or
  /// missing. Skips null elements, because a template renders an absent value in brackets as
  /// [null].
  std::set<std::string> OptionalStrings(const std::string& aKey);
  /// \return the keys of a JSON object, or std::nullopt if the setting is null or missing.
  std::optional<std::set<std::string>> OptionalKeys(const std::string& aKey);
  Reader Object(const std::string& aKey);
  std::vector<Reader> Objects(const std::string& aKey);

  /// Records an error for a key that the caller has validated itself.
  void Fail(const std::string& aKey, const std::string& aReason);

  /// Records an error for each key that was never read.
  /// \return the first error of the document, or OK.
  absl::Status Finish();

private:
  Reader(std::shared_ptr<Document> aDocument, const nlohmann::json* aObject, std::string aPath);
  const nlohmann::json* Find(const std::string& aKey, bool aRequired);
  const nlohmann::json* FindArray(const std::string& aKey);
  void AddStrings(const std::string& aKey,
                  const nlohmann::json& aArray,
                  std::set<std::string>& aStrings);
  int64_t CheckedInteger(const std::string& aKey, const nlohmann::json& aValue, Range aRange);

  std::shared_ptr<Document> mDocument;
  const nlohmann::json* mObject;
  std::string mPath;
  std::set<std::string> mReadKeys;
};

} // namespace Settings
