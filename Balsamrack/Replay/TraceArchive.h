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

// Traces are JSON with full field names, since some are written by hand. Peer
// messages use CBOR with short names to keep probes small.

/// Writes the fields of a struct to a JSON object. Fields with the zero value
/// of their type are omitted. Not thread-safe.
class TraceWriter {
public:
  /// Parameter type of a struct that is written.
  template <class T> using Ref = const T &;

  /// Precondition: \p out outlives the writer and is an object.
  explicit TraceWriter(nlohmann::json &out) : Out(out) {}

  /// Writes one field.
  template <class T> void operator()(const char *name, const T &field) {
    nlohmann::json v = toJson(field);
    if (!isZero(v))
      Out[name] = std::move(v);
  }
  /// Writes an enum.
  template <class E> void oneOf(const char *name, const E &field, E) {
    (*this)(name, static_cast<uint64_t>(field));
  }

  /// Converts a value to JSON.
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

  nlohmann::json &Out; ///< Object that is written.
};

/// Reads the fields of a struct from a JSON object. An absent field gets the
/// zero value of its type. An unknown field is an error, since a hand-written
/// trace with a misspelt field would otherwise test nothing. Not thread-safe.
class TraceReader {
public:
  /// Parameter type of a struct that is read.
  template <class T> using Ref = T &;

  /// Precondition: \p in and \p error outlive the reader.
  TraceReader(const nlohmann::json &in, std::string &error)
      : In(in), FirstError(error) {
    if (!In.is_object())
      setError("expected an object");
  }
  ~TraceReader() {
    if (In.is_object() && FieldsRead < In.size())
      setError("unknown field");
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
  /// Reads an enum; a value above \p last is an error.
  template <class E> void oneOf(const char *name, E &field, E last) {
    uint64_t raw = 0;
    (*this)(name, raw);
    if (raw > static_cast<uint64_t>(last))
      return setError(name);
    field = static_cast<E>(raw);
  }
  /// Stores \p error unless there is an earlier one.
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

  const nlohmann::json &In; ///< Object that is read.
  std::string &FirstError;  ///< First error of the whole event.
  size_t FieldsRead = 0;    ///< Number of fields of In that were read.
};

} // namespace balsamrack

#endif // BALSAMRACK_REPLAY_TRACEARCHIVE_H
