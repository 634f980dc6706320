# Control cost of an instance against the number of instances.
# Needs: fits (output of bench/control/fits.awk), out.
set terminal pngcairo size 1100,800 font ",11"
set output out
set multiplot layout 2,2 title "Control of one entry instance, no callers"
set grid
set key top left
set xlabel "entry instances"
set xrange [0:*]
set yrange [0:*]
series(s) = sprintf("< awk '$1 == \"mean\" && $2 == \"%s\" {gsub(/[()]/, \"\"); sub(/-/, \" \", $5); print}' %s", s, fits)
set ylabel "processor time, % of a core"
plot series("idle.cpu_percent") using 3:4:5:6 with yerrorlines lw 2 title "idle, mean", \
  series("change.cpu_percent") using 3:4:5:6 with yerrorlines lw 2 title "1 change a second, mean", \
  series("change.cpu_percent.max") using 3:4:5:6 with yerrorlines lw 1 title "1 change a second, busiest"
set ylabel "resident memory, MB"
plot series("idle.rss_mb") using 3:4:5:6 with yerrorlines lw 2 title "idle, mean", \
  series("change.rss_mb.max") using 3:4:5:6 with yerrorlines lw 2 title "1 change a second, largest"
set ylabel "bytes a second to peers"
plot series("idle.sent_bytes_s") using 3:4:5:6 with yerrorlines lw 2 title "idle, mean", \
  series("change.sent_bytes_s") using 3:4:5:6 with yerrorlines lw 2 title "1 change a second, mean", \
  series("change.sent_bytes_s.max") using 3:4:5:6 with yerrorlines lw 1 title "1 change a second, busiest"
set ylabel "key-value calls a second, all instances"
plot series("idle.kv_reads_s") using 3:4:5:6 with yerrorlines lw 2 title "idle, reads", \
  series("change.kv_reads_s") using 3:4:5:6 with yerrorlines lw 2 title "1 change a second, reads", \
  series("change.kv_writes_s") using 3:4:5:6 with yerrorlines lw 2 title "1 change a second, writes", \
  series("idle.kv_lease_calls_s") using 3:4:5:6 with yerrorlines lw 1 title "idle, lease calls"
unset multiplot
