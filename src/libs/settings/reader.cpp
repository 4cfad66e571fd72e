#include "settings/reader.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>
#include <utility>

namespace Settings {

struct Document
{
  nlohmann::json mRoot;
  absl::Status mFirstError;
};

namespace {

const nlohmann::json&
EmptyObject()
{
  static const nlohmann::json sEmpty = nlohmann::json::object();
  return sEmpty;
}

} // namespace

absl::StatusOr<std::shared_ptr<Document>>
ParseDocument(const std::string& aText)
{
  auto document = std::make_shared<Document>();
  try {
    document->mRoot = nlohmann::json::parse(aText);
  } catch (const nlohmann::json::parse_error& error) {
    return absl::InvalidArgumentError(
      absl::StrCat("settings are not valid JSON at byte ", error.byte, ": ", error.what()));
  } catch (const nlohmann::json::exception& error) {
    // A number that no type can hold is valid JSON.
    return absl::InvalidArgumentError(absl::StrCat("settings cannot be read: ", error.what()));
  }
  if (!document->mRoot.is_object()) {
    return absl::InvalidArgumentError("settings must be a JSON object");
  }
  return document;
}

absl::StatusOr<std::shared_ptr<Document>>
LoadDocument(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return absl::NotFoundError(absl::StrCat("cannot read settings file \"", aPath, "\""));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseDocument(text.str());
}

Reader::Reader(std::shared_ptr<Document> aDocument)
  : mDocument(std::move(aDocument))
  , mObject(&mDocument->mRoot)
{
}

Reader::Reader(std::shared_ptr<Document> aDocument,
               const nlohmann::json* aObject,
               std::string aPath)
  : mDocument(std::move(aDocument))
  , mObject(aObject)
  , mPath(std::move(aPath))
{
}

bool
Reader::Has(const std::string& aKey) const
{
  return mObject->contains(aKey);
}

void
Reader::Fail(const std::string& aKey, const std::string& aReason)
{
  if (mDocument->mFirstError.ok()) {
    mDocument->mFirstError =
      absl::InvalidArgumentError(absl::StrCat("setting \"", mPath, aKey, "\" ", aReason));
  }
}

const nlohmann::json*
Reader::Find(const std::string& aKey, bool aRequired)
{
  mReadKeys.insert(aKey);
  const auto found = mObject->find(aKey);
  if (found != mObject->end()) {
    return &*found;
  }
  if (aRequired) {
    Fail(aKey, "is missing");
  }
  return nullptr;
}

std::string
Reader::String(const std::string& aKey)
{
  const nlohmann::json* value = Find(aKey, true);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string()) {
    Fail(aKey, "must be a string");
    return "";
  }
  return value->get<std::string>();
}

std::string
Reader::StringOr(const std::string& aKey, const std::string& aDefault)
{
  return Has(aKey) ? String(aKey) : aDefault;
}

int64_t
Reader::CheckedInteger(const std::string& aKey, const nlohmann::json& aValue, Range aRange)
{
  if (!aValue.is_number_integer()) {
    Fail(aKey, "must be an integer");
    return aRange.mMin;
  }
  const bool tooLargeForSigned =
    aValue.is_number_unsigned() && aValue.get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
  const int64_t number = tooLargeForSigned ? INT64_MAX : aValue.get<int64_t>();
  if (tooLargeForSigned || number < aRange.mMin || number > aRange.mMax) {
    Fail(aKey, absl::StrCat("must be from ", aRange.mMin, " to ", aRange.mMax));
    return aRange.mMin;
  }
  return number;
}

int64_t
Reader::Integer(const std::string& aKey, Range aRange)
{
  const nlohmann::json* value = Find(aKey, true);
  return value == nullptr ? aRange.mMin : CheckedInteger(aKey, *value, aRange);
}

int64_t
Reader::IntegerOr(const std::string& aKey, Range aRange, int64_t aDefault)
{
  return Has(aKey) ? Integer(aKey, aRange) : aDefault;
}

double
Reader::NumberOr(const std::string& aKey, double aMin, double aMax, double aDefault)
{
  const nlohmann::json* value = Find(aKey, false);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_number()) {
    Fail(aKey, "must be a number");
    return aDefault;
  }
  const double number = value->get<double>();
  if (number < aMin || number > aMax) {
    Fail(aKey, absl::StrCat("must be from ", aMin, " to ", aMax));
    return aDefault;
  }
  return number;
}

bool
Reader::BoolOr(const std::string& aKey, bool aDefault)
{
  const nlohmann::json* value = Find(aKey, false);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    Fail(aKey, "must be true or false");
    return aDefault;
  }
  return value->get<bool>();
}

Base::Endpoint
Reader::Endpoint(const std::string& aKey)
{
  const std::string text = String(aKey);
  const absl::StatusOr<Base::Endpoint> endpoint = Base::ParseEndpoint(text);
  if (!endpoint.ok()) {
    Fail(aKey, absl::StrCat("is invalid: ", endpoint.status().message()));
    return {};
  }
  return *endpoint;
}

const nlohmann::json*
Reader::FindArray(const std::string& aKey)
{
  const nlohmann::json* value = Find(aKey, true);
  if (value != nullptr && !value->is_array()) {
    Fail(aKey, "must be an array");
    return nullptr;
  }
  return value;
}

std::vector<std::string>
Reader::Strings(const std::string& aKey)
{
  std::vector<std::string> strings;
  const nlohmann::json* array = FindArray(aKey);
  if (array == nullptr) {
    return strings;
  }
  for (const nlohmann::json& item : *array) {
    if (!item.is_string()) {
      Fail(absl::StrCat(aKey, "[", strings.size(), "]"), "must be a string");
      return strings;
    }
    strings.push_back(item.get<std::string>());
  }
  return strings;
}

std::set<std::string>
Reader::OptionalStrings(const std::string& aKey)
{
  std::set<std::string> strings;
  const nlohmann::json* value = Find(aKey, false);
  if (value == nullptr || value->is_null()) {
    return strings;
  }
  if (!value->is_array()) {
    Fail(aKey, "must be an array or null");
    return strings;
  }
  for (const nlohmann::json& item : *value) {
    AddStrings(aKey, item.is_array() ? item : nlohmann::json::array({ item }), strings);
  }
  return strings;
}

void
Reader::AddStrings(const std::string& aKey,
                   const nlohmann::json& aArray,
                   std::set<std::string>& aStrings)
{
  for (const nlohmann::json& item : aArray) {
    if (item.is_string()) {
      aStrings.insert(item.get<std::string>());
    } else if (!item.is_null()) {
      Fail(aKey, "must contain only strings");
    }
  }
}

std::vector<Base::Endpoint>
Reader::Endpoints(const std::string& aKey)
{
  std::vector<Base::Endpoint> endpoints;
  for (const std::string& text : Strings(aKey)) {
    const absl::StatusOr<Base::Endpoint> endpoint = Base::ParseEndpoint(text);
    if (!endpoint.ok()) {
      Fail(absl::StrCat(aKey, "[", endpoints.size(), "]"),
           absl::StrCat("is invalid: ", endpoint.status().message()));
      return endpoints;
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

std::optional<std::set<std::string>>
Reader::OptionalKeys(const std::string& aKey)
{
  const nlohmann::json* value = Find(aKey, false);
  if (value == nullptr || value->is_null()) {
    return std::nullopt;
  }
  std::set<std::string> keys;
  if (!value->is_object()) {
    Fail(aKey, "must be an object or null");
    return keys;
  }
  for (const auto& item : value->items()) {
    keys.insert(item.key());
  }
  return keys;
}

Reader
Reader::Object(const std::string& aKey)
{
  const nlohmann::json* value = Find(aKey, true);
  if (value != nullptr && !value->is_object()) {
    Fail(aKey, "must be an object");
    value = nullptr;
  }
  const nlohmann::json* object = value == nullptr ? &EmptyObject() : value;
  return { mDocument, object, absl::StrCat(mPath, aKey, ".") };
}

std::vector<Reader>
Reader::Objects(const std::string& aKey)
{
  std::vector<Reader> readers;
  const nlohmann::json* array = FindArray(aKey);
  if (array == nullptr) {
    return readers;
  }
  for (const nlohmann::json& item : *array) {
    const std::string name = absl::StrCat(aKey, "[", readers.size(), "]");
    if (!item.is_object()) {
      Fail(name, "must be an object");
      return readers;
    }
    readers.push_back(Reader(mDocument, &item, absl::StrCat(mPath, name, ".")));
  }
  return readers;
}

absl::Status
Reader::Finish()
{
  for (const auto& item : mObject->items()) {
    if (mReadKeys.count(item.key()) == 0) {
      Fail(item.key(), "is unknown");
    }
  }
  return mDocument->mFirstError;
}

} // namespace Settings
