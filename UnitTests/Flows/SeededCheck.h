#ifndef BALSAMRACK_UNITTESTS_FLOWS_SEEDEDCHECK_H
#define BALSAMRACK_UNITTESTS_FLOWS_SEEDEDCHECK_H

#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace balsamrack {

/// Checks a property with the same cases in every run, and prints a
/// counterexample if it fails.
template <class Property> bool seededCheck(Property property, int cases = 500) {
  rc::detail::TestParams params;
  params.seed = 20'261'202;
  params.maxSuccess = cases;
  auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  bool ok = result.template is<rc::detail::SuccessResult>();
  if (!ok)
    rc::detail::printResultMessage(result, std::cerr);
  return ok;
}

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_FLOWS_SEEDEDCHECK_H
