#ifndef FRAMEWORK_PROGRAM_SERVICE_H_
#define FRAMEWORK_PROGRAM_SERVICE_H_

#include <functional>
#include <string_view>

#include "framework/global/types/result.h"
#include "framework/log/log.h"

// What the mains of programs that serve until they are told to end share.
namespace acacialug::program {

// Logs what went wrong as `event`, with its number and detail. Returns the
// exit code of a program that ends for it. Thread safe.
int Fail(std::string_view event, const Error& error);

// Configures the log and runs the program; returns its exit code, that of
// Fail when there can be no log. Call once, from main, before any other
// thread starts.
int Serve(const log::LogOptions& log_options, const std::function<int()>& run);

}  // namespace acacialug::program

#endif  // FRAMEWORK_PROGRAM_SERVICE_H_
