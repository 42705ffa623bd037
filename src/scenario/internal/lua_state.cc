#include "scenario/internal/lua_state.h"

#include <cstdlib>
#include <stdexcept>
#include <utility>

extern "C" {
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
}

namespace acacialug::scenario {
namespace {

// A Lua error skips C++ destructors, so that no object that owns memory may
// exist when it is raised. Therefore the text is copied to Lua first.
int Trampoline(lua_State* state) {
  {
    const auto& function = *static_cast<const LuaState::Function*>(
        lua_touserdata(state, lua_upvalueindex(1)));
    try {
      LuaArguments arguments(state, lua_gettop(state));
      function(arguments);
      return arguments.returned();
    } catch (const std::exception& error) {
      luaL_where(state, 1);
      lua_pushstring(state, error.what());
      lua_concat(state, 2);
    }
  }
  return lua_error(state);
}

Duration ParseTime(const std::string& text) {
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  const std::string unit(end);
  static const std::map<std::string, double> kSeconds = {
      {"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"min", 60}};
  const auto found = kSeconds.find(unit);
  if (end == text.c_str() || found == kSeconds.end() || number < 0) {
    throw std::invalid_argument("expected a time like \"200ms\", found \"" +
                                text + "\"");
  }
  return FromSeconds(number * found->second);
}

std::string TextAt(lua_State* state, int index) {
  if (lua_type(state, index) != LUA_TSTRING) {
    throw std::invalid_argument(std::string("expected a text, found ") +
                                luaL_typename(state, index));
  }
  return lua_tostring(state, index);
}

std::int64_t IntegerAt(lua_State* state, int index) {
  int is_integer = 0;
  const std::int64_t number = lua_tointegerx(state, index, &is_integer);
  if (is_integer == 0) {
    throw std::invalid_argument(std::string("expected a whole number, found ") +
                                luaL_typename(state, index));
  }
  return number;
}

}  // namespace

std::string LuaArguments::Text(int index) const {
  return TextAt(this->state, index);
}

std::int64_t LuaArguments::Integer(int index) const {
  return IntegerAt(this->state, index);
}

bool LuaArguments::Truth(int index) const {
  return lua_toboolean(this->state, index) != 0;
}

Duration LuaArguments::Time(int index) const {
  return ParseTime(this->Text(index));
}

std::function<void()> LuaArguments::Function(int index) const {
  if (!lua_isfunction(this->state, index)) {
    throw std::invalid_argument("expected a function");
  }
  lua_pushvalue(this->state, index);
  const int reference = luaL_ref(this->state, LUA_REGISTRYINDEX);
  return [lua = this->state, reference] {
    lua_rawgeti(lua, LUA_REGISTRYINDEX, reference);
    if (lua_pcall(lua, 0, 0, 0) != LUA_OK) {
      const std::string what = lua_tostring(lua, -1);
      lua_pop(lua, 1);
      throw std::runtime_error(what);
    }
  };
}

bool LuaArguments::Field(const char* key) const {
  if (this->count == 0) {
    return false;
  }
  if (!lua_istable(this->state, 1)) {
    throw std::invalid_argument("expected a table");
  }
  if (lua_getfield(this->state, 1, key) != LUA_TNIL) {
    return true;
  }
  lua_pop(this->state, 1);
  return false;
}

std::string LuaArguments::TextField(const char* key,
                                    const std::string& fallback) const {
  if (!this->Field(key)) {
    return fallback;
  }
  std::string text = TextAt(this->state, -1);
  lua_pop(this->state, 1);
  return text;
}

std::int64_t LuaArguments::IntegerField(const char* key,
                                        std::int64_t fallback) const {
  if (!this->Field(key)) {
    return fallback;
  }
  const std::int64_t number = IntegerAt(this->state, -1);
  lua_pop(this->state, 1);
  return number;
}

bool LuaArguments::TruthField(const char* key, bool fallback) const {
  if (!this->Field(key)) {
    return fallback;
  }
  const bool truth = lua_toboolean(this->state, -1) != 0;
  lua_pop(this->state, 1);
  return truth;
}

Duration LuaArguments::TimeField(const char* key, Duration fallback) const {
  const std::string text = this->TextField(key, "");
  return text.empty() ? fallback : ParseTime(text);
}

std::vector<std::string> LuaArguments::ListField(const char* key) const {
  std::vector<std::string> list;
  if (!this->Field(key)) {
    return list;
  }
  const auto length = static_cast<int>(lua_rawlen(this->state, -1));
  for (int index = 1; index <= length; ++index) {
    lua_rawgeti(this->state, -1, index);
    list.push_back(TextAt(this->state, -1));
    lua_pop(this->state, 1);
  }
  lua_pop(this->state, 1);
  return list;
}

void LuaArguments::Return(const std::string& text) {
  lua_pushlstring(this->state, text.data(), text.size());
  ++this->results;
}

void LuaArguments::Return(std::int64_t number) {
  lua_pushinteger(this->state, number);
  ++this->results;
}

void LuaArguments::Return(bool truth) {
  lua_pushboolean(this->state, truth ? 1 : 0);
  ++this->results;
}

std::string LuaArguments::Place() const {
  luaL_where(this->state, 1);
  std::string place = lua_tostring(this->state, -1);
  lua_pop(this->state, 1);
  return place;
}

LuaState::LuaState() : state(luaL_newstate()) {
  if (this->state == nullptr) {
    throw std::bad_alloc();
  }
  luaL_requiref(this->state, "_G", luaopen_base, 1);
  luaL_requiref(this->state, "string", luaopen_string, 1);
  luaL_requiref(this->state, "table", luaopen_table, 1);
  luaL_requiref(this->state, "math", luaopen_math, 1);
  lua_settop(this->state, 0);
  for (const char* unsafe : {"dofile", "loadfile", "print"}) {
    lua_pushnil(this->state);
    lua_setglobal(this->state, unsafe);
  }
}

LuaState::~LuaState() {
  lua_close(this->state);
}

void LuaState::Set(const std::string& name, Function function) {
  this->functions.push_back(std::move(function));
  lua_pushlightuserdata(this->state, &this->functions.back());
  lua_pushcclosure(this->state, &Trampoline, 1);
  lua_setglobal(this->state, name.c_str());
}

std::string LuaState::RunFile(const std::string& path) {
  if (luaL_loadfilex(this->state, path.c_str(), "t") != LUA_OK ||
      lua_pcall(this->state, 0, 0, 0) != LUA_OK) {
    const char* const text = lua_tostring(this->state, -1);
    std::string what = text == nullptr ? "an error without a text" : text;
    lua_settop(this->state, 0);
    return what;
  }
  return "";
}

}  // namespace acacialug::scenario
