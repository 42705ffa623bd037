#ifndef SCENARIO_INTERNAL_LUA_STATE_H_
#define SCENARIO_INTERNAL_LUA_STATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "framework/global/types/instant.h"

struct lua_State;

namespace acacialug::scenario {

// The arguments and results of a function that Lua calls. Every getter throws
// std::invalid_argument if the value has another type. The call then fails with
// a Lua error that names the line of the script.
class LuaArguments {
 public:
  LuaArguments(lua_State* lua_state, int values)
      : state(lua_state), count(values) {}

  int Count() const { return this->count; }

  // The value at `index`, which counts from 1.
  std::string Text(int index) const;
  std::int64_t Integer(int index) const;
  bool Truth(int index) const;
  // "10s", "200ms", "5us", "2min".
  Duration Time(int index) const;
  // A function that may be called later, as long as the state exists.
  std::function<void()> Function(int index) const;

  // A field of the table at index 1; `fallback` if it is absent.
  std::string TextField(const char* key, const std::string& fallback) const;
  std::int64_t IntegerField(const char* key, std::int64_t fallback) const;
  bool TruthField(const char* key, bool fallback) const;
  Duration TimeField(const char* key, Duration fallback) const;
  std::vector<std::string> ListField(const char* key) const;

  // Results, in order.
  void Return(const std::string& text);
  void Return(std::int64_t number);
  void Return(bool truth);
  int returned() const { return this->results; }

  // FILE:LINE of the call in the script.
  std::string Place() const;

 private:
  bool Field(const char* key) const;  // pushes the field if it exists

  lua_State* state;
  int count;
  int results = 0;
};

// A Lua interpreter with those standard libraries that read neither files nor
// the clock. Not thread safe.
class LuaState {
 public:
  using Function = std::function<void(LuaArguments&)>;

  LuaState();
  ~LuaState();
  LuaState(const LuaState&) = delete;
  LuaState& operator=(const LuaState&) = delete;

  // Registers `function` under this name for scripts.
  void Set(const std::string& name, Function function);

  // Runs a file. Returns the error, empty if there was none.
  std::string RunFile(const std::string& path);

 private:
  lua_State* state;
  std::deque<Function> functions;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_LUA_STATE_H_
