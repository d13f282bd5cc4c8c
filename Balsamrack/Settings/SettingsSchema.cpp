#include "Balsamrack/Settings/Settings.h"

namespace balsamrack {

// The schema is compiled in so that a VM without disks needs no second file. It
// is the only place that defines the limits of settings.
const char *settingsSchema() {
  return R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "balsamrackd settings",
  "type": "object",
  "additionalProperties": false,
  "required": ["vm", "failure_domain", "callers", "peers", "operators", "platform"],
  "properties": {
    "vm": {"type": "string", "minLength": 1, "maxLength": 64},
    "failure_domain": {"type": "string", "minLength": 1, "maxLength": 64},
    "callers": {
      "type": "object", "additionalProperties": false, "required": ["ip"],
      "properties": {
        "ip": {"type": "string", "minLength": 7, "maxLength": 15},
        "port_offset": {"type": "integer", "minimum": 0, "maximum": 60000},
        "max_body_bytes": {"type": "integer", "minimum": 1024, "maximum": 4194304},
        "max_header_bytes": {"type": "integer", "minimum": 1024, "maximum": 65536},
        "max_in_progress": {"type": "integer", "minimum": 1, "maximum": 20000}
      }
    },
    "peers": {
      "type": "object", "additionalProperties": false, "required": ["listen", "fleet_key", "allowed"],
      "properties": {
        "listen": {"type": "string", "minLength": 9, "maxLength": 21},
        "fleet_key": {"type": "string", "minLength": 1, "maxLength": 256},
        "allowed": {"type": "array", "minItems": 1, "maxItems": 1024, "items": {"type": "string", "minLength": 7, "maxLength": 18}},
        "seeds": {
          "type": "array", "maxItems": 64,
          "items": {
            "type": "object", "additionalProperties": false, "required": ["vm", "failure_domain", "address"],
            "properties": {
              "vm": {"type": "string", "minLength": 1, "maxLength": 64},
              "failure_domain": {"type": "string", "minLength": 1, "maxLength": 64},
              "address": {"type": "string", "minLength": 9, "maxLength": 21}
            }
          }
        }
      }
    },
    "operators": {
      "type": "object", "additionalProperties": false, "required": ["listen", "allowed"],
      "properties": {
        "listen": {"type": "string", "minLength": 9, "maxLength": 21},
        "allowed": {"type": "array", "minItems": 1, "maxItems": 1024, "items": {"type": "string", "minLength": 7, "maxLength": 18}}
      }
    },
    "platform": {
      "type": "object", "additionalProperties": false, "required": ["address"],
      "properties": {
        "address": {"type": "string", "minLength": 9, "maxLength": 21},
        "watch_ms": {"type": "integer", "minimum": 100, "maximum": 60000},
        "min_backoff_ms": {"type": "integer", "minimum": 10, "maximum": 60000},
        "max_backoff_ms": {"type": "integer", "minimum": 10, "maximum": 600000}
      }
    },
    "keys": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "memory_s": {"type": "integer", "minimum": 1, "maximum": 86400},
        "guardians": {"type": "integer", "minimum": 1, "maximum": 4},
        "max_keys": {"type": "integer", "minimum": 1000, "maximum": 4000000},
        "assume_no_earlier_keys_at_start": {"type": "boolean"},
        "when_cut": {"type": "string", "enum": ["refuse", "run_with_reachable"]}
      }
    },
    "membership": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "period_ms": {"type": "integer", "minimum": 20, "maximum": 10000},
        "probe_timeout_ms": {"type": "integer", "minimum": 5, "maximum": 5000},
        "suspicion_ms": {"type": "integer", "minimum": 50, "maximum": 60000},
        "lease_ms": {"type": "integer", "minimum": 50, "maximum": 60000}
      }
    },
    "servers": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "threads": {"type": "integer", "minimum": 1, "maximum": 1024},
        "connect_timeout_ms": {"type": "integer", "minimum": 10, "maximum": 10000},
        "health_period_ms": {"type": "integer", "minimum": 100, "maximum": 60000}
      }
    },
    "flows": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "max_flows": {"type": "integer", "minimum": 1000, "maximum": 4000000}
      }
    },
    "log": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "level": {"type": "string", "enum": ["debug", "info", "warning", "error"]},
        "format": {"type": "string", "enum": ["text", "json"]},
        "file": {"type": "string", "maxLength": 4096}
      }
    },
    "trace": {
      "type": "object", "additionalProperties": false,
      "properties": {"file": {"type": "string", "maxLength": 4096}}
    },
    "record": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "file": {"type": "string", "maxLength": 4096},
        "max_bytes": {"type": "integer", "minimum": 65536, "maximum": 1073741824}
      }
    },
    "journal": {
      "type": "object", "additionalProperties": false,
      "properties": {"decisions": {"type": "integer", "minimum": 100, "maximum": 1000000}}
    },
    "shutdown": {
      "type": "object", "additionalProperties": false,
      "properties": {"limit_ms": {"type": "integer", "minimum": 100, "maximum": 600000}}
    }
  }
})json";
}

} // namespace balsamrack
