# Goodput against role changes over the price, for one deployment.
# Needs: rows (output of planner_curve), out, name.
set terminal pngcairo size 1000,650 font ",11"
set output out
set title name
set xlabel "role changes in 8 minutes (mean over seeds)"
set ylabel "goodput by worth (mean, one standard deviation)"
set grid
set xrange [-0.5:*]
set key bottom right
planner(r) = sprintf("< grep '^planner' %s", r)
baseline(r, p) = sprintf("< grep '^%s ' %s", p, r)
plot planner(rows) using 7:3:4 with yerrorlines lw 2 pt 7 title "planner, price 0 to 1000", \
  planner(rows) using 7:3:2 with labels offset 1.5,-0.8 notitle, \
  baseline(rows, 'never') using 7:3:4 with yerrorbars pt 5 lw 2 title "never change", \
  baseline(rows, 'follower') using 7:3:4 with yerrorbars pt 9 lw 2 title "follow the last minute", \
  baseline(rows, 'oracle') using 7:3:4 with yerrorbars pt 11 lw 2 title "oracle", \
  baseline(rows, 'best_fixed') using 7:3:4 with yerrorbars pt 13 lw 2 title "best fixed split in hindsight"
