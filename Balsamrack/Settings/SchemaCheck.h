#ifndef BALSAMRACK_SETTINGS_SCHEMACHECK_H
#define BALSAMRACK_SETTINGS_SCHEMACHECK_H

#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Balsamrack/Settings/Settings.h"

namespace balsamrack {

/// Returns all violations of \p schema in \p document, each as JSON pointer,
/// value found and values allowed, ordered by pointer. Precondition: \p schema
/// is a valid JSON schema (draft 7) without references. Thread-safe.
std::vector<SettingsFault> checkAgainstSchema(const nlohmann::json &schema,
                                              const nlohmann::json &document);

} // namespace balsamrack

#endif // BALSAMRACK_SETTINGS_SCHEMACHECK_H
