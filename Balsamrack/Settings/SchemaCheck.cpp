#include "Balsamrack/Settings/SchemaCheck.h"

#include <algorithm>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

using nlohmann::json;

constexpr size_t MaxShown = 80; ///< Longer values are cut in messages.

std::string shown(const json &value) {
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  return text.size() <= MaxShown ? text : text.substr(0, MaxShown) + "...";
}

/// What a schema node allows, in words.
std::string allowedBy(const json &node) {
  std::string text = node.value("type", std::string("value"));
  if (node.contains("enum"))
    return absl::StrCat("one of ", node["enum"].dump());
  if (node.contains("minimum"))
    absl::StrAppend(&text, " from ", node["minimum"].dump(), " to ",
                    node["maximum"].dump());
  if (node.contains("minLength"))
    absl::StrAppend(&text, " of ", node["minLength"].dump(), " to ",
                    node["maxLength"].dump(), " characters");
  else if (node.contains("maxLength"))
    absl::StrAppend(&text, " of at most ", node["maxLength"].dump(),
                    " characters");
  if (node.contains("maxItems"))
    absl::StrAppend(&text, " of ", node.value("minItems", 0), " to ",
                    node["maxItems"].dump(), " items");
  return text;
}

/// Walks along one error's context ("<root>", "[name]", ...) in schema and
/// document at the same time.
struct Place {
  json::json_pointer Pointer;
  const json *Schema;
  const json *Value;

  bool descend(const std::string &step) {
    const std::string name = step.substr(1, step.size() - 2);
    if (Value->is_array()) {
      const size_t at = std::strtoul(name.c_str(), nullptr, 10);
      if (at >= Value->size() || !Schema->contains("items"))
        return false;
      Schema = &(*Schema)["items"];
      Value = &(*Value)[at];
      Pointer /= at;
      return true;
    }
    if (!Value->is_object() || !Value->contains(name) ||
        !Schema->contains("properties") ||
        !(*Schema)["properties"].contains(name))
      return false;
    Schema = &(*Schema)["properties"][name];
    Value = &(*Value)[name];
    Pointer /= name;
    return true;
  }
};

std::string pointerText(const json::json_pointer &pointer) {
  const std::string text = pointer.to_string();
  return text.empty() ? "/" : text;
}

/// Faults of the members of the object at \p place: unknown and missing ones.
void addMemberFaults(const Place &place, std::vector<SettingsFault> &faults) {
  const json &known = (*place.Schema)["properties"];
  bool closed = place.Schema->value("additionalProperties", true) == false;
  for (const auto &[name, value] : place.Value->items()) {
    if (!closed || known.contains(name))
      continue;
    std::string names;
    for (const auto &it : known.items())
      absl::StrAppend(&names, names.empty() ? "" : ", ", it.key());
    faults.push_back({pointerText(place.Pointer / name),
                      absl::StrCat("unknown field, ", shown(value)),
                      absl::StrCat("fields ", names)});
  }
  if (!place.Schema->contains("required"))
    return;
  for (const auto &name : (*place.Schema)["required"])
    if (!place.Value->contains(name.get<std::string>()))
      faults.push_back({pointerText(place.Pointer / name.get<std::string>()),
                        "nothing", allowedBy(known[name.get<std::string>()])});
}

/// Collects faults below \p place in pointer order.
void collect(const Place &place, const std::set<std::string> &broken,
             std::vector<SettingsFault> &faults) {
  const std::string type = place.Schema->value("type", std::string());
  const bool rightObject = type == "object" && place.Value->is_object();
  const bool rightArray = type == "array" && place.Value->is_array();
  if (rightObject) {
    addMemberFaults(place, faults);
    for (const auto &it : place.Value->items()) {
      Place inner = place;
      if (inner.descend("[" + it.key() + "]"))
        collect(inner, broken, faults);
    }
    return;
  }
  if (broken.count(place.Pointer.to_string()) > 0)
    faults.push_back({pointerText(place.Pointer), shown(*place.Value),
                      allowedBy(*place.Schema)});
  for (size_t i = 0; rightArray && i < place.Value->size(); ++i) {
    Place inner = place;
    if (inner.descend(absl::StrCat("[", i, "]")))
      collect(inner, broken, faults);
  }
}

} // namespace

std::vector<SettingsFault> checkAgainstSchema(const json &schema,
                                              const json &document) {
  // Let valijson judge.
  valijson::Schema rules;
  valijson::SchemaParser parser;
  valijson::adapters::NlohmannJsonAdapter schemaAdapter(schema);
  parser.populateSchema(schemaAdapter, rules);
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  valijson::adapters::NlohmannJsonAdapter adapter(document);
  if (validator.validate(rules, adapter, &results))
    return {};

  // Its messages name neither the value nor the limits, and it repeats an
  // error for each level above; keep the places and word them ourselves.
  std::set<std::string> broken;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    Place place{json::json_pointer(), &schema, &document};
    for (size_t i = 1; i < error.context.size(); ++i)
      if (!place.descend(error.context[i]))
        break;
    broken.insert(place.Pointer.to_string());
  }
  std::vector<SettingsFault> faults;
  collect({json::json_pointer(), &schema, &document}, broken, faults);
  return faults;
}

} // namespace balsamrack
