#ifndef BALSAMRACK_REPLAY_TRACEARCHIVE_H
#define BALSAMRACK_REPLAY_TRACEARCHIVE_H

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"

namespace balsamrack {

// Traces are JSON with full names, since people write some by hand; the peers'
// archive has short names in CBOR, since every byte of a probe counts.

/// Writes the fields of a struct into a JSON object. Fields that hold their
/// type's zero are left out. Not thread-safe.
class TraceWriter {
public:
  template <class T> using Ref = const T &;

  /// Precondition: \p out outlives the writer and is an object.
  explicit TraceWriter(nlohmann::json &out) : Out(out) {}

  /// Writes one field.
  template <class T> void operator()(const char *name, const T &field) {
    nlohmann::json v = toJson(field);
    if (!isZero(v))
      Out[name] = std::move(v);
  }
  /// Writes an enum; \p last is its highest value.
  template <class E> void oneOf(const char *name, const E &field, E) {
    (*this)(name, static_cast<uint64_t>(field));
  }

  /// Any value as JSON.
  template <class T> static nlohmann::json toJson(const T &field) {
    if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>)
      return field;
    else if constexpr (std::is_same_v<T, Duration>)
      return field.count();
    else if constexpr (std::is_same_v<T, TimePoint>)
      return field.time_since_epoch().count();
    else if constexpr (std::is_same_v<T, Address>)
      return field == Address() ? std::string() : field.str();
    else
      return convertValue(field);
  }

private:
  static bool isZero(const nlohmann::json &v) {
    if (v.is_number())
      return v == 0;
    if (v.is_boolean())
      return !v.get<bool>();
    return v.is_string() ? v.get_ref<const std::string &>().empty() : v.empty();
  }
  template <class Tag>
  static nlohmann::json convertValue(const NamedId<Tag> &field) {
    return field.str();
  }
  template <class Tag> static nlohmann::json convertValue(NumberId<Tag> field) {
    return field.Value;
  }
  template <class T>
  static nlohmann::json convertValue(const std::vector<T> &field) {
    nlohmann::json list = nlohmann::json::array();
    for (const T &it : field)
      list.push_back(toJson(it));
    return list;
  }
  template <class T> static nlohmann::json convertValue(const T &field) {
    nlohmann::json object = nlohmann::json::object();
    TraceWriter inner(object);
    traceFields(inner, field);
    return object;
  }

  nlohmann::json &Out; ///< The object that is written.
};

/// Reads the fields of a struct from a JSON object. An absent field keeps its
/// type's zero; an unknown one is a fault, since a hand-written trace with a
/// misspelt field would otherwise prove nothing. Not thread-safe.
class TraceReader {
public:
  template <class T> using Ref = T &;

  /// Precondition: \p in and \p fault outlive the reader.
  TraceReader(const nlohmann::json &in, std::string &error)
      : In(in), FirstError(error) {
    if (!In.is_object())
      setError("an object is expected");
  }
  ~TraceReader() {
    if (In.is_object() && FieldsRead < In.size())
      setError("an unknown field");
  }
  TraceReader(const TraceReader &) = delete;
  TraceReader &operator=(const TraceReader &) = delete;

  /// Reads one field.
  template <class T> void operator()(const char *name, T &field) {
    field = T();
    const auto it = In.is_object() ? In.find(name) : In.end();
    if (it == In.end())
      return;
    ++FieldsRead;
    if (!fromJson(*it, field))
      setError(name);
  }
  /// Reads an enum; a value above \p last is a fault.
  template <class E> void oneOf(const char *name, E &field, E last) {
    uint64_t raw = 0;
    (*this)(name, raw);
    if (raw > static_cast<uint64_t>(last))
      return setError(name);
    field = static_cast<E>(raw);
  }
  /// Notes the first fault.
  void setError(const std::string &error) {
    if (FirstError.empty())
      FirstError = error;
  }

private:
  template <class T> bool fromJson(const nlohmann::json &v, T &field) {
    if constexpr (std::is_same_v<T, bool>) {
      return v.is_boolean() && (field = v.get<bool>(), true);
    } else if constexpr (std::is_same_v<T, double>) {
      return v.is_number() && (field = v.get<double>(), true);
    } else if constexpr (std::is_unsigned_v<T>) {
      return v.is_number_unsigned() &&
             v.get<uint64_t>() <= std::numeric_limits<T>::max() &&
             (field = static_cast<T>(v.get<uint64_t>()), true);
    } else if constexpr (std::is_same_v<T, std::string>) {
      return v.is_string() && (field = v.get<std::string>(), true);
    } else if constexpr (std::is_same_v<T, Duration>) {
      return v.is_number_integer() &&
             (field = Duration(v.get<int64_t>()), true);
    } else if constexpr (std::is_same_v<T, TimePoint>) {
      return v.is_number_integer() &&
             (field = TimePoint(Duration(v.get<int64_t>())), true);
    } else if constexpr (std::is_same_v<T, Address>) {
      if (!v.is_string())
        return false;
      auto address = Address::parse(v.get<std::string>());
      return address.ok() && (field = *address, true);
    } else {
      return convertValue(v, field);
    }
  }
  template <class Tag>
  bool convertValue(const nlohmann::json &v, NamedId<Tag> &field) {
    return v.is_string() && (field = NamedId<Tag>(v.get<std::string>()), true);
  }
  template <class Tag>
  bool convertValue(const nlohmann::json &v, NumberId<Tag> &field) {
    return fromJson(v, field.Value);
  }
  template <class T>
  bool convertValue(const nlohmann::json &v, std::vector<T> &field) {
    for (const nlohmann::json &element : v) {
      field.emplace_back();
      if (!fromJson(element, field.back()))
        return false;
    }
    return v.is_array();
  }
  template <class T> bool convertValue(const nlohmann::json &v, T &field) {
    {
      TraceReader inner(v, FirstError);
      traceFields(inner, field);
    }
    return FirstError.empty();
  }

  const nlohmann::json &In; ///< The object that is read.
  std::string &FirstError;  ///< First fault of the whole event.
  size_t FieldsRead = 0;    ///< Fields of In that were read.
};

} // namespace balsamrack

#endif // BALSAMRACK_REPLAY_TRACEARCHIVE_H
