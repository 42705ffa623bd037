#ifndef ENGINE_INTERNAL_EVENT_OUTLET_H_
#define ENGINE_INTERNAL_EVENT_OUTLET_H_

#include <QObject>
#include <QTimer>
#include <functional>
#include <utility>

#include "engine/types/engine_messages.h"

namespace acacialug::engine {

// Delivers an adapter's events: at once, or from the event loop for events that
// are known while Execute still runs. Not thread safe.
class EventOutlet {
 public:
  using Hook = std::function<void(const EngineEvent&)>;

  void SetHook(Hook new_hook) { this->hook = std::move(new_hook); }

  // Precondition: not inside Execute.
  void Send(const EngineEvent& event) const {
    if (this->hook) {
      this->hook(event);
    }
  }

  // Sends the event from the event loop, unless this outlet is destroyed by
  // then.
  void Post(EngineEvent event) {
    QTimer::singleShot(0, &this->context,
                       [this, event = std::move(event)] { this->Send(event); });
  }

 private:
  Hook hook;
  QObject context;  // cancels posted events with the outlet
};

}  // namespace acacialug::engine

#endif  // ENGINE_INTERNAL_EVENT_OUTLET_H_
