#ifndef BALSAMRACK_PEERS_FIELDARCHIVE_H
#define BALSAMRACK_PEERS_FIELDARCHIVE_H

#include <cstdint>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/Request.h"
#include "nlohmann/json.hpp"

namespace balsamrack {

/// Writes the fields of a message into a CBOR map. Zero, false and empty fields
/// are omitted to keep control traffic small. Not thread-safe.
class FieldWriter {
public:
  /// Parameter type of a fields() function.
  template <class T> using Ref = const T &;
  static constexpr bool Reads = false;

  /// Precondition: \p out outlives the writer and is an object.
  explicit FieldWriter(nlohmann::json &out) : Out(out) {}

  /// Writes a field that is a number, flag, text, id, duration, enum, address,
  /// list, or a struct that has a fields() function.
  template <class T> void operator()(const char *name, const T &field) {
    nlohmann::json v = value(field);
    if (!isDefault(v))
      Out[name] = std::move(v);
  }
  /// Writes an optional field; see FieldReader.
  template <class T> bool optional(const char *name, const T &field) {
    (*this)(name, field);
    return true;
  }
  /// Writes an enum; \p last is its highest enumerator.
  template <class E> void oneOf(const char *name, const E &field, E) {
    (*this)(name, static_cast<uint32_t>(field));
  }
  /// Writes text that need not be UTF-8.
  void bytes(const char *name, const std::string &field) {
    if (!field.empty())
      Out[name] = byteString(field);
  }
  /// Writes header fields as byte strings, alternating names and values.
  void headers(const char *name, const HeaderList &field) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[key, text] : field) {
      list.push_back(byteString(key));
      list.push_back(byteString(text));
    }
    if (!list.empty())
      Out[name] = std::move(list);
  }

private:
  static nlohmann::json byteString(const std::string &text) {
    return nlohmann::json::binary({text.begin(), text.end()});
  }
  static bool isDefault(const nlohmann::json &v) {
    if (v.is_number_integer())
      return v == 0;
    if (v.is_boolean())
      return !v.get<bool>();
    return v.is_string() ? v.get_ref<const std::string &>().empty() : v.empty();
  }
  template <class T>
  static std::enable_if_t<std::is_arithmetic_v<T>, nlohmann::json>
  value(T field) {
    return field;
  }
  static nlohmann::json value(const std::string &field) { return field; }
  static nlohmann::json value(Duration field) { return field.count(); }
  static nlohmann::json value(const Address &field) {
    return field == Address() ? std::string() : field.str();
  }
  template <class Tag> static nlohmann::json value(const NamedId<Tag> &field) {
    return field.str();
  }
  template <class Tag> static nlohmann::json value(NumberId<Tag> field) {
    return field.Value;
  }
  template <class T> static nlohmann::json value(const std::vector<T> &field) {
    nlohmann::json list = nlohmann::json::array();
    for (const T &one : field)
      list.push_back(value(one));
    return list;
  }
  template <class T>
  static std::enable_if_t<std::is_class_v<T>, nlohmann::json>
  value(const T &field) {
    nlohmann::json map = nlohmann::json::object();
    FieldWriter inner(map);
    fields(inner, field);
    return map;
  }

  nlohmann::json &Out; ///< The map being written.
};

/// Reads the fields of a message from a CBOR map. A missing field is zero,
/// false or empty; an unknown one is ignored. Not thread-safe.
class FieldReader {
public:
  /// Parameter type of a fields() function.
  template <class T> using Ref = T &;
  static constexpr bool Reads = true;

  /// Maximum size of names and other short texts, in bytes.
  static constexpr size_t MaxNameBytes = 1024;

  /// Precondition: \p in and \p fault outlive the reader.
  FieldReader(const nlohmann::json &in, std::string &fault)
      : In(in), Fault(fault) {
    if (!In.is_object())
      fail("map expected");
  }

  /// Reads a field; see FieldWriter.
  template <class T> void operator()(const char *name, T &field) {
    const nlohmann::json *v = find(name);
    if (!v)
      clear(field);
    else if (!value(*v, field))
      fail(name);
  }
  /// Reads an optional field, which must not make the whole message invalid.
  /// Returns false if it is present and invalid; then it is empty.
  /// Precondition: not a struct or a list of structs.
  template <class T> bool optional(const char *name, T &field) {
    const nlohmann::json *v = find(name);
    bool valid = !v || value(*v, field);
    if (!v || !valid)
      clear(field);
    return valid;
  }
  /// Reads an enum; values above \p last are errors.
  template <class E> void oneOf(const char *name, E &field, E last) {
    uint32_t raw = 0;
    (*this)(name, raw);
    if (raw > static_cast<uint32_t>(last))
      return fail(name);
    field = static_cast<E>(raw);
  }
  /// Reads text that need not be UTF-8, of any length.
  void bytes(const char *name, std::string &field) {
    field.clear();
    const nlohmann::json *v = find(name);
    if (v && !byteString(*v, field))
      fail(name);
  }
  /// Reads header fields.
  void headers(const char *name, HeaderList &field) {
    field.clear();
    const nlohmann::json *v = find(name);
    if (!v)
      return;
    if (!v->is_array() || v->size() % 2 != 0)
      return fail(name);
    for (size_t i = 0; i < v->size(); i += 2) {
      std::pair<std::string, std::string> one;
      if (!byteString((*v)[i], one.first) ||
          !byteString((*v)[i + 1], one.second))
        return fail(name);
      field.push_back(std::move(one));
    }
  }
  /// Records the first error; later ones are ignored.
  void fail(const char *name) {
    if (Fault.empty())
      Fault = std::string("bad field: ") + name;
  }
  /// True if the field \p name is present.
  bool has(const char *name) const { return find(name) != nullptr; }

private:
  const nlohmann::json *find(const char *name) const {
    if (!In.is_object())
      return nullptr;
    auto it = In.find(name);
    return it == In.end() ? nullptr : &*it;
  }
  static bool byteString(const nlohmann::json &v, std::string &out) {
    if (!v.is_binary())
      return false;
    const auto &raw = v.get_binary();
    out.assign(raw.begin(), raw.end());
    return true;
  }

  bool value(const nlohmann::json &v, bool &field) {
    if (!v.is_boolean())
      return false;
    field = v.get<bool>();
    return true;
  }
  template <class T>
  std::enable_if_t<std::is_unsigned_v<T>, bool> value(const nlohmann::json &v,
                                                      T &field) {
    if (!v.is_number_unsigned() ||
        v.get<uint64_t>() > std::numeric_limits<T>::max())
      return false;
    field = static_cast<T>(v.get<uint64_t>());
    return true;
  }
  bool value(const nlohmann::json &v, std::string &field) {
    if (!v.is_string() ||
        v.get_ref<const std::string &>().size() > MaxNameBytes)
      return false;
    field = v.get<std::string>();
    return true;
  }
  bool value(const nlohmann::json &v, Duration &field) {
    constexpr uint64_t Max = std::numeric_limits<int64_t>::max();
    if (!v.is_number_integer() ||
        (v.is_number_unsigned() && v.get<uint64_t>() > Max))
      return false;
    field = Duration(v.get<int64_t>());
    return true;
  }
  bool value(const nlohmann::json &v, Address &field) {
    std::string text;
    if (!value(v, text))
      return false;
    auto address = Address::parse(text);
    if (!address.ok())
      return false;
    field = *std::move(address);
    return true;
  }
  template <class Tag>
  bool value(const nlohmann::json &v, NamedId<Tag> &field) {
    std::string text;
    if (!value(v, text))
      return false;
    field = NamedId<Tag>(std::move(text));
    return true;
  }
  template <class Tag>
  bool value(const nlohmann::json &v, NumberId<Tag> &field) {
    return value(v, field.Value);
  }
  template <class T>
  bool value(const nlohmann::json &v, std::vector<T> &field) {
    field.clear();
    if (!v.is_array())
      return false;
    for (const nlohmann::json &one : v) {
      field.emplace_back();
      if (!value(one, field.back()))
        return false;
    }
    return true;
  }
  template <class T>
  std::enable_if_t<std::is_class_v<T>, bool> value(const nlohmann::json &v,
                                                   T &field) {
    FieldReader inner(v, Fault);
    fields(inner, field);
    return Fault.empty();
  }

  template <class T> std::enable_if_t<std::is_arithmetic_v<T>> clear(T &field) {
    field = T();
  }
  template <class T> void clear(std::vector<T> &field) { field.clear(); }
  void clear(std::string &field) { field.clear(); }
  void clear(Duration &field) { field = Duration(0); }
  void clear(Address &field) { field = Address(); }
  template <class Tag> void clear(NamedId<Tag> &field) {
    field = NamedId<Tag>();
  }
  template <class Tag> void clear(NumberId<Tag> &field) { field = {}; }
  /// Reads a struct from an empty map instead of default-constructing it,
  /// because its own defaults may not be zero while the writer omits zeros.
  template <class T> std::enable_if_t<std::is_class_v<T>> clear(T &field) {
    const nlohmann::json empty = nlohmann::json::object();
    value(empty, field);
  }

  const nlohmann::json &In; ///< The map being read.
  std::string &Fault;       ///< First error of the whole message.
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_FIELDARCHIVE_H
